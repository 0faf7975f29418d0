package loadbalancer.server;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.CodeSource;
import java.util.List;
import java.util.stream.Stream;

/**
 * Makes the program's classes loadable without a further file descriptor. A class is loaded at its first use. Where no
 * descriptor is free then, loading fails with NoClassDefFoundError, and the JVM repeats that error at each later use
 * from the same place, also when descriptors are free again (JVMS 5.4.3).
 *
 * <p>An archive needs one descriptor, which the class loader keeps; a directory needs one for each class. Before the
 * event loop starts; on the thread that starts the program.
 */
final class ClassPreloader {
    private static final String ABSENT_RESOURCE = "loadbalancer/absent";
    private static final String CLASS_SUFFIX = ".class";

    private ClassPreloader() {}

    /** Opens all archives of the class path, and loads the program's classes where these lie in a directory. */
    static void preloadProgram() {
        preload(ClassPreloader.class.getClassLoader(), programLocation());
    }

    /**
     * Opens all archives of {@code loader}, and loads all classes below {@code program} if that is a directory. A
     * class that can't be loaded is passed over: the library that it needs may be absent.
     */
    static void preload(ClassLoader loader, Path program) {
        // A search that finds nothing has looked into each entry of the class path.
        loader.getResource(ABSENT_RESOURCE);
        if (program == null || !Files.isDirectory(program)) {
            return;
        }
        for (String name : classNames(program)) {
            load(loader, name);
        }
    }

    // null where the program doesn't lie in a file or a directory.
    private static Path programLocation() {
        CodeSource source = ClassPreloader.class.getProtectionDomain().getCodeSource();
        if (source == null || !source.getLocation().getProtocol().equals("file")) {
            return null;
        }
        try {
            return Path.of(source.getLocation().toURI());
        } catch (URISyntaxException e) {
            return null;
        }
    }

    private static List<String> classNames(Path directory) {
        try (Stream<Path> files = Files.walk(directory)) {
            return files.map(file -> directory.relativize(file).toString())
                    .filter(name -> name.endsWith(CLASS_SUFFIX))
                    .map(name -> name.substring(0, name.length() - CLASS_SUFFIX.length()))
                    .map(name -> name.replace(directory.getFileSystem().getSeparator(), "."))
                    .toList();
        } catch (IOException | UncheckedIOException e) {
            return List.of(); // its classes are loaded at their first use, as without this
        }
    }

    private static void load(ClassLoader loader, String name) {
        try {
            Class.forName(name, false, loader);
        } catch (ClassNotFoundException | LinkageError e) {
            // Reported at its first use, if there is one.
        }
    }
}
