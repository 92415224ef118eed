package org.havenford.simulator;

import java.time.Duration;
import java.util.function.Consumer;
import org.havenford.transport.HttpCalls;

/** Simulates HTTP requests, with a latency of a few milliseconds and subject to {@link NetworkFaults}. */
final class SimulatedNetwork {
    private static final int LATENCY_RANGE_MILLIS = 4;
    private static final Duration REFUSAL_DELAY = Duration.ofMillis(1);
    private static final HttpCalls.Reply NO_ANSWER = new HttpCalls.Reply(HttpCalls.NO_ANSWER, "");
    private static final HttpCalls.Reply NOT_SENT = new HttpCalls.Reply(HttpCalls.NOT_SENT, "");
    private static final HttpCalls.Reply REFUSED_BY_STORE = new HttpCalls.Reply(503, "{\"error\":\"refused\"}");

    /** A request; the body may be null. */
    record Request(String method, String path, String body, Duration timeout) {
        private boolean isWatch() {
            return path.startsWith("/changes");
        }

        private boolean isDirectCommand() {
            return path.startsWith("/do");
        }

        private boolean isHeartbeat() {
            return path.equals("/checkin");
        }
    }

    private final ClusterSimulator simulator;
    final NetworkFaults faults;

    SimulatedNetwork(ClusterSimulator simulator) {
        this.simulator = simulator;
        this.faults = new NetworkFaults(simulator);
    }

    /**
     * Sends a request. {@code callback} is called once, with the reply or with one of the substitutes
     * {@link HttpCalls#NOT_SENT} and {@link HttpCalls#NO_ANSWER}.
     */
    void call(String from, String to, Request request, Consumer<HttpCalls.Reply> callback) {
        new Exchange(from, to, request, callback).start();
    }

    /**
     * Delivers a message after a random latency, or holds or drops it according to the active faults. If the sender is
     * frozen, the message is queued first.
     */
    private void transmit(String from, String to, Runnable delivery) {
        if (faults.deaf.contains(to)) {
            return;
        }
        SimulatedController sender = simulator.controllerAt(from);
        if (sender != null && sender.queueIfFrozen(() -> transmit(from, to, delivery))) {
            return;
        }
        if (faults.passes(from, to, delivery)) {
            int millis = 1 + simulator.random.nextInt(LATENCY_RANGE_MILLIS + faults.extraLatencyMillis);
            simulator.after(Duration.ofMillis(millis), delivery);
        }
    }

    /**
     * One request and its reply. Late commands, slow calls and duplicates are delivered to the server without regard to
     * cuts, deaf addresses and frozen senders; replies are subject to all of these.
     */
    private final class Exchange {
        private final String from;
        private final String to;
        private final Request request;
        private final Consumer<HttpCalls.Reply> callback;
        private final boolean toStore;
        /** Additional delay of the reply to a watch; null for none. */
        private Duration watchReplyDelay;

        private boolean completed;

        Exchange(String from, String to, Request request, Consumer<HttpCalls.Reply> callback) {
            this.from = from;
            this.to = to;
            this.request = request;
            this.callback = callback;
            this.toStore = to.equals(simulator.commonSettings.storeAddress());
        }

        /** Returns whether this is a request to the state service other than a watch. */
        private boolean isStoreCall() {
            return toStore && !request.isWatch();
        }

        void start() {
            simulator.after(request.timeout, () -> complete(NO_ANSWER));
            if (faults.mute.contains(from)) {
                return;
            }
            if (isStoreCall() && faults.isRefused(from)) {
                sendReply(REFUSED_BY_STORE);
                return;
            }
            Duration commandDelay = request.isDirectCommand() ? faults.commandDelays.get(to) : null;
            watchReplyDelay = request.isWatch() ? faults.watchReplyDelays.get(from) : null;
            if (commandDelay != null) {
                simulator.after(commandDelay, () -> deliver(this::sendReply));
                return;
            }
            sendDuplicate();
            Duration callDelay = isStoreCall() ? faults.takeSlowCall(from) : null;
            if (callDelay != null) {
                simulator.after(callDelay, () -> deliver(this::sendReply));
                return;
            }
            send();
        }

        /** Delivers the request a second time if a fault duplicates it; the second reply is discarded. */
        private void sendDuplicate() {
            Duration delay = duplicateDelay();
            if (delay != null) {
                simulator.after(delay, () -> deliver(reply -> {}));
            }
        }

        /** Returns the delay after which the request is delivered a second time, or null if it is not. */
        private Duration duplicateDelay() {
            if (request.isHeartbeat()) {
                return faults.duplicatedHeartbeats.get(from);
            }
            if (request.isDirectCommand() && faults.duplicatedCommands.containsKey(to)) {
                return faults.duplicatedCommands.get(to);
            }
            return request.method.equals("POST") ? faults.duplicatedPosts.get(from) : null;
        }

        private void send() {
            if (faults.cutOfLink(from, to) == NetworkFaults.Cut.RESET) {
                simulator.after(REFUSAL_DELAY, () -> complete(NOT_SENT));
                return;
            }
            transmit(from, to, () -> {
                if (!deliver(this::reply)) {
                    sendReply(NOT_SENT);
                }
            });
        }

        /** Passes the request to the server at the destination; returns false if none listens there. */
        private boolean deliver(Consumer<HttpCalls.Reply> replyCallback) {
            ClusterSimulator.Server server = simulator.servers.get(to);
            if (server == null) {
                return false;
            }
            server.handle(request.method, request.path, request.body, replyCallback);
            return true;
        }

        private void reply(HttpCalls.Reply reply) {
            Duration delay = watchReplyDelay == null ? Duration.ZERO : watchReplyDelay;
            Runnable delivery = () -> simulator.after(delay, () -> sendReply(reply));
            if (toStore && request.isWatch() && faults.isRefused(from)) {
                faults.holdWatchReply(from, delivery);
            } else {
                delivery.run();
            }
        }

        private void sendReply(HttpCalls.Reply reply) {
            transmit(to, from, () -> complete(reply));
        }

        private void complete(HttpCalls.Reply reply) {
            if (!completed) {
                completed = true;
                callback.accept(reply);
            }
        }
    }
}
