package loadbalancer.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import loadbalancer.proxy.RecentRequestIds;

/**
 * Shares the ids of requests that may have run between the processes of a hot restart: each process has its table in a
 * file of the folder that they have in common, and maps those of the others. Without such files each process knows its
 * own requests alone. To be used on the event loop.
 */
final class SharedRequestIds {
    private static final String PREFIX = "request-ids-";

    private final RecentRequestIds ids;
    private final Path folder;
    private final Consumer<String> log;
    private final Set<Path> mapped = new HashSet<>();

    SharedRequestIds(RecentRequestIds ids, Path folder, Consumer<String> log) {
        this.ids = ids;
        this.folder = folder;
        this.log = log;
    }

    /** Creates the table of this process, and maps those of all others; before the first request. */
    void open() {
        Path own = folder.resolve(PREFIX + ProcessHandle.current().pid());
        try {
            Files.deleteIfExists(own); // of a former process with this id
            ids.useTable(map(own, true));
            own.toFile().deleteOnExit();
            mapped.add(own);
        } catch (IOException e) {
            log.accept("event=request_ids_not_shared reason=" + e);
        }
        mapOthers();
    }

    /** Maps the tables of processes that have started meanwhile. */
    void mapOthers() {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path file : files) {
                if (mapped.add(file)) {
                    ids.addOtherTable(map(file, false));
                    deleteIfUnused(file);
                }
            }
        } catch (IOException e) {
            log.accept("event=request_ids_not_shared reason=" + e);
        }
    }

    // The table stays mapped. A process that was killed has not deleted its file.
    private static void deleteIfUnused(Path file) throws IOException {
        long pid = Long.parseLong(file.getFileName().toString().substring(PREFIX.length()));
        if (ProcessHandle.of(pid).filter(ProcessHandle::isAlive).isEmpty()) {
            Files.deleteIfExists(file);
        }
    }

    private static ByteBuffer map(Path file, boolean write) throws IOException {
        if (!write) {
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
                if (channel.size() < RecentRequestIds.TABLE_BYTES) {
                    throw new IOException(file + " is not a table of request ids");
                }
                return channel.map(FileChannel.MapMode.READ_ONLY, 0, RecentRequestIds.TABLE_BYTES);
            }
        }
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            return channel.map(FileChannel.MapMode.READ_WRITE, 0, RecentRequestIds.TABLE_BYTES);
        }
    }
}
