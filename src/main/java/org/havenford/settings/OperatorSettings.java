package org.havenford.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.Node;
import org.xml.sax.SAXException;

/**
 * The operators' settings, read from an XML file in addition to the platform's settings. See docs/operations.md.
 *
 * @param stragglerThreshold the coefficient of the straggler detection above which an attempt is stopped
 * @param stragglerMinimumDone number of tasks of a job that must be done before its stragglers are stopped
 * @param membershipLease how long the membership lease of a controller lasts without a renewal
 * @param roundBudget time budget for planning in one scheduling round
 * @param idleBeforeReturn how long a surplus machine must be idle before it is returned to the cloud
 * @param spareShare spot machines to keep beyond their average demand, as a fraction of it
 * @param silentBeforeReturn how long after the agent lease a silent machine is returned to the cloud
 */
public record OperatorSettings(
        double stragglerThreshold,
        int stragglerMinimumDone,
        Duration membershipLease,
        Duration roundBudget,
        Duration idleBeforeReturn,
        double spareShare,
        Duration silentBeforeReturn,
        SpeedFirst speedFirst,
        StandbySettings standby) {

    /** The settings that apply without a file. */
    public static final OperatorSettings DEFAULTS = new Builder().build();

    /** Thrown if the file is not valid; the message names the element, its value and what is allowed. */
    public static final class InvalidSettingException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidSettingException(String message) {
            super(message);
        }
    }

    /** When to prefer speed over cost: machines are then rented for all pending work at once and returned late. */
    public enum SpeedFirst {
        /** Only in deployments where no team has a guarantee or a limit, so that usage is not accounted for. */
        UNMETERED,
        /** In all deployments. */
        ALWAYS,
        /** In no deployment. */
        NEVER
    }

    /** Returns whether speed takes precedence over cost in this deployment. */
    public boolean speedFirst(PlatformSettings settings) {
        return switch (speedFirst) {
            case ALWAYS -> true;
            case NEVER -> false;
            case UNMETERED ->
                settings.teams().values().stream()
                        .noneMatch(team -> team.isLimited() || team.cpus() > 0 || team.gpus() > 0);
        };
    }

    /** Reads and validates a file of operators' settings. */
    public static OperatorSettings read(Path file) throws IOException, InvalidSettingException {
        Element root;
        try {
            DocumentBuilderFactory factory = DocumentBuilderFactory.newInstance();
            factory.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
            var builder = factory.newDocumentBuilder();
            builder.setErrorHandler(null);
            root = builder.parse(file.toFile()).getDocumentElement();
        } catch (SAXException e) {
            throw new InvalidSettingException("not well-formed XML: " + e.getMessage());
        } catch (ParserConfigurationException e) {
            throw new IllegalStateException(e);
        }
        if (!root.getTagName().equals("havenford")) {
            throw new InvalidSettingException("<" + root.getTagName() + ">: the root element must be <havenford>");
        }
        Builder builder = new Builder();
        for (Node n = root.getFirstChild(); n != null; n = n.getNextSibling()) {
            if (n instanceof Element e) {
                builder.set(e.getTagName(), e.getTextContent().strip());
            }
        }
        OperatorSettings operatorSettings = builder.build();
        if (!operatorSettings.standby().isConsistent()) {
            throw new InvalidSettingException("<standby-suspect-ms>: "
                    + operatorSettings.standby().suspectAfter().toMillis()
                    + " must be more than twice <standby-heartbeat-ms>, which is "
                    + operatorSettings.standby().heartbeat().toMillis());
        }
        return operatorSettings;
    }

    /** Collects the settings while they are read, starting from the defaults. */
    private static final class Builder {
        private double stragglerThreshold = 0.75;
        private int stragglerMinimumDone = 10;
        private Duration membershipLease = Duration.ofSeconds(8);
        private Duration roundBudget = Duration.ofMillis(20);
        private Duration idleBeforeReturn = Duration.ofSeconds(20);
        private double spareShare = 0.15;
        private Duration silentBeforeReturn = Duration.ofSeconds(30);
        private SpeedFirst speedFirst = SpeedFirst.UNMETERED;
        private StandbySettings standby = StandbySettings.OFF;

        /**
         * Sets the value of one element. Unknown elements are ignored, as are unknown fields of the platform's
         * settings.
         */
        void set(String name, String text) throws InvalidSettingException {
            switch (name) {
                case "late-threshold" -> stragglerThreshold = parseNumber(name, text, 0.5, 0.999);
                case "late-minimum-done" -> stragglerMinimumDone = (int) parseNumber(name, text, 1, 100_000);
                case "membership-lease-s" -> membershipLease = parseSeconds(name, text, 2, 60);
                case "round-budget-ms" -> roundBudget = parseMillis(name, text, 1, 1000);
                case "idle-before-return-s" -> idleBeforeReturn = parseSeconds(name, text, 0, 86_400);
                case "spare-share" -> spareShare = parseNumber(name, text, 0, 10);
                case "silent-before-return-s" -> silentBeforeReturn = parseSeconds(name, text, 5, 3600);
                case "speed-first" -> speedFirst = parseSpeedFirst(name, text);
                case "standby" -> standby = standby.withEnabled(parseOnOff(name, text));
                case "standby-heartbeat-ms" -> standby = standby.withHeartbeat(parseMillis(name, text, 50, 2000));
                case "standby-suspect-ms" -> standby = standby.withSuspectAfter(parseMillis(name, text, 200, 10_000));
                case "standby-challenge-ms" -> standby = standby.withProbeWindow(parseMillis(name, text, 100, 5000));
                case "standby-buffer-kb" ->
                    standby = standby.withBufferBytes(((int) parseNumber(name, text, 64, 16_384)) * 1024);
                default -> {
                    // May be an element of a newer version.
                }
            }
        }

        OperatorSettings build() {
            return new OperatorSettings(
                    stragglerThreshold,
                    stragglerMinimumDone,
                    membershipLease,
                    roundBudget,
                    idleBeforeReturn,
                    spareShare,
                    silentBeforeReturn,
                    speedFirst,
                    standby);
        }
    }

    private static Duration parseSeconds(String name, String text, double min, double max)
            throws InvalidSettingException {
        return Duration.ofMillis((long) (parseNumber(name, text, min, max) * 1000));
    }

    private static Duration parseMillis(String name, String text, double min, double max)
            throws InvalidSettingException {
        return Duration.ofNanos((long) (parseNumber(name, text, min, max) * 1_000_000));
    }

    private static boolean parseOnOff(String name, String text) throws InvalidSettingException {
        if (text.equals("on") || text.equals("off")) {
            return text.equals("on");
        }
        throw new InvalidSettingException("<" + name + ">: '" + text + "' is neither on nor off");
    }

    private static SpeedFirst parseSpeedFirst(String name, String text) throws InvalidSettingException {
        for (SpeedFirst value : SpeedFirst.values()) {
            if (value.name().toLowerCase(Locale.ROOT).equals(text)) {
                return value;
            }
        }
        throw new InvalidSettingException("<" + name + ">: '" + text + "' is none of unmetered, always, never");
    }

    private static double parseNumber(String name, String text, double min, double max) throws InvalidSettingException {
        try {
            double value = Double.parseDouble(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // The exception below states the allowed range as well.
        }
        throw new InvalidSettingException("<" + name + ">: '" + text + "' is not a number from " + min + " to " + max);
    }
}
