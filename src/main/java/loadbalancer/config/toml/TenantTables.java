package loadbalancer.config.toml;

/** Reads the tables {@code tenant} into settings, one after the other. */
final class TenantTables {
    private final SettingValues settings;
    private int count;

    TenantTables(SettingValues settings) {
        this.settings = settings;
    }

    /** Adds the settings of the next tenant and returns its name. */
    String read(Table table) {
        String prefix = "Realms." + count + ".";
        count++;
        String name = table.name("name", null);
        settings.put(prefix + "Name", name);
        settings.put(prefix + "AllowancePerS", table.number("allowance", null, 0, 1e9));
        return name;
    }
}
