package org.havenford;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Enumeration;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;

/**
 * Warm-up run for the class-data-sharing archive: starts a controller without a deployment during the build and loads
 * the classes that a start needs, so that the JVM can archive them. The controller uses its own address as the state
 * service and the cloud, so every such call is answered with 404.
 */
final class ClassDataSharingWarmUp {
    private ClassDataSharingWarmUp() {}

    static int run() {
        try {
            String self = "127.0.0.1:" + freePort();
            Main.serve(
                    PlatformSettings.parse("{\"node_name\":\"rehearsal\",\"location\":\"a\",\"bind\":\"" + self
                            + "\",\"cluster_listen\":\"127.0.0.1:" + freePort() + "\",\"endpoints\":{\"cloud\":\""
                            + self
                            + "\",\"state\":\"" + self
                            + "\"},\"deployment\":{\"workers\":{\"report_s\":3,\"lease_s\":20,\"cancel_s\":40},"
                            + "\"state\":{\"rps\":100,\"write_rps\":50,\"value_kb\":8,\"txn_ops\":12},"
                            + "\"cloud\":{\"rps\":5,\"list_lag_s\":4}}}"),
                    OperatorSettings.DEFAULTS);
            loadOwnClasses();
            Thread.sleep(1500);
            return 0;
        } catch (IOException | MalformedMessageException | ReflectiveOperationException e) {
            System.err.println("havenford: warm-up run failed: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    private static void loadOwnClasses() throws IOException, ClassNotFoundException {
        String jar = ClassDataSharingWarmUp.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .getPath();
        if (!jar.endsWith(".jar")) {
            return;
        }
        try (JarFile file = new JarFile(jar)) {
            for (Enumeration<JarEntry> e = file.entries(); e.hasMoreElements(); ) {
                String name = e.nextElement().getName();
                if (name.startsWith("org/havenford/") && name.endsWith(".class")) {
                    Class.forName(
                            name.substring(0, name.length() - ".class".length()).replace('/', '.'));
                }
            }
        }
    }
}
