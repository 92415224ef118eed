package org.havenford.storage.records;

/** Where things are kept in the state service. All but the final states are mirrored by every controller. */
public final class Keys {
    public static final String REPLICATED = "live/";
    public static final String VIEW = "live/view";
    public static final String TYPES = "live/types";
    public static final String MEMBERS = "live/member/";
    public static final String JOBS = "live/job/";
    public static final String TASKS = "live/tasks/";
    public static final String MACHINES = "live/machine/";
    public static final String MACHINE_STATUSES = "live/heard/";
    public static final String TEAMS = "live/team/";
    public static final String INSTANCE_REQUESTS = "live/booking/";
    public static final String LIVENESS_PROBES = "live/challenge/";
    public static final String FINAL_STATES = "final/";

    private Keys() {}

    /** Key of a job's header. */
    public static String job(String id) {
        return JOBS + id;
    }

    /** Key of a record of tasks. */
    public static String tasks(String job, int chunk) {
        return TASKS + job + "/" + chunk;
    }

    /** Key of a batch of machines. */
    public static String batch(String name) {
        return MACHINES + name;
    }

    /** Key of the status of some machines of an owner. */
    public static String machineStatuses(String node, int part) {
        return MACHINE_STATUSES + node + "/" + part;
    }

    /** Key of the shares of a team's limit. */
    public static String team(String name) {
        // Names come from the settings and may hold anything; keys hold no spaces.
        return TEAMS + name.replaceAll("[^A-Za-z0-9_.-]", "_");
    }

    /** Key of a member's registration, attached to its lease. */
    public static String member(String node) {
        return MEMBERS + node;
    }

    /** Key of the question to a suspected member whether it is alive. */
    public static String livenessProbe(String node) {
        return LIVENESS_PROBES + node;
    }

    /** Key of an intent to rent. */
    public static String instanceRequest(String name) {
        return INSTANCE_REQUESTS + name;
    }

    /** Key of a job's final state. */
    public static String finalState(String job) {
        return FINAL_STATES + job;
    }
}
