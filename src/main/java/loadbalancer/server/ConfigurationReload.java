package loadbalancer.server;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import loadbalancer.config.Config;
import loadbalancer.config.SettingsReload;
import loadbalancer.settings.SettingsReader;

/**
 * Takes over a replaced configuration in service: its settings, its discovery address or endpoint list, its
 * certificates. The one owner of the configuration in use.
 */
final class ConfigurationReload {
    /** For so long request classes that were dropped are still served: clients learn of the change later. */
    private static final long FORMER_CLASSES_MILLIS = 10_000;

    private final ServerComponents server;
    private final ConfiguredEndpointSource endpoints;
    private Config current; // guarded by this
    private SettingsReader.Boot settings; // in use, with former classes; the loop's
    private int settingsReloads; // the loop's

    ConfigurationReload(ServerComponents server, ConfiguredEndpointSource endpoints) {
        this.server = server;
        this.endpoints = endpoints;
        this.current = server.config;
        this.settings = server.config.boot();
    }

    /**
     * Reads a configuration and takes over what can change in service; one that can't be used changes nothing. From any
     * thread but the loop's: it reads a file.
     */
    synchronized void reload(Supplier<Config> source) {
        Config fresh;
        String problem;
        try {
            fresh = source.get();
            problem = current.problem(fresh);
        } catch (RuntimeException e) { // not Config.Bad alone: a file may hold what no check foresaw
            reject(e instanceof Config.Bad ? e.getMessage() : e.toString());
            return;
        }
        List<String> needRestart = current.waiting(fresh);
        if (problem == null && !endpoints.canReload(fresh)) {
            problem = "new " + String.join(", ", needRestart) + " need a restart";
        }
        if (problem != null) {
            reject(problem);
            return;
        }
        boolean otherSettings = !fresh.boot().equals(current.boot());
        logReload(fresh, otherSettings, needRestart);
        current = current.with(fresh);
        server.loop.execute(() -> {
            if (otherSettings) {
                reloadSettings(fresh.boot());
            }
            endpoints.reload(fresh);
        });
        server.loop.execute(() -> server.extension.reloadCertificates(fresh));
    }

    private void reject(String problem) {
        server.log.accept("event=configuration_rejected reason=" + problem);
    }

    private void logReload(Config fresh, boolean otherSettings, List<String> needRestart) {
        String line = "event=configuration_reloaded " + endpoints.describe(fresh);
        if (otherSettings) {
            line += " classes=" + String.join(",", fresh.boot().classes());
        }
        if (!needRestart.isEmpty()) {
            line += " needs_restart=" + String.join(",", needRestart);
        }
        server.log.accept(line);
    }

    private void reloadSettings(SettingsReader.Boot fresh) {
        settingsReloads++;
        int thisReload = settingsReloads;
        applySettings(SettingsReload.withFormer(settings, fresh));
        if (!settings.equals(fresh)) {
            server.loop.schedule(
                    () -> {
                        if (thisReload == settingsReloads) { // else a later reload has its own timer
                            applySettings(fresh);
                        }
                    },
                    FORMER_CLASSES_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void applySettings(SettingsReader.Boot fresh) {
        settings = fresh;
        server.dispatcher.reload(fresh);
        server.upstreams.reload(fresh);
        server.listener.reload(fresh);
        server.extension.reload(fresh);
    }
}
