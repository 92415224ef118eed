package org.havenford.storage.records;

/** Where things are kept in the state service. All but the final states are replicated by every controller. */
public final class Keys {
    /** Prefix of all keys that every controller keeps a replica of. */
    public static final String REPLICATED = "live/";
    /** Key of the cluster view. */
    public static final String VIEW = "live/view";
    /** Key of the machine types that the cloud offers. */
    public static final String TYPES = "live/types";
    /** Prefix of the registrations of members, by node. */
    public static final String MEMBERS = "live/member/";
    /** Prefix of the headers of jobs that are not over, by job. */
    public static final String JOBS = "live/job/";
    /** Prefix of task ranges, by job and index of the range. */
    public static final String TASKS = "live/tasks/";
    /** Prefix of the batches of machines, by name of the batch. */
    public static final String MACHINES = "live/machine/";
    /** Prefix of reported machine statuses, by owner and part. */
    public static final String MACHINE_STATUSES = "live/heard/";
    /** Prefix of the shares of limits, by team. */
    public static final String TEAMS = "live/team/";
    /** Prefix of the intents to rent, by name. */
    public static final String INSTANCE_REQUESTS = "live/booking/";
    /** Prefix of the questions whether a member is alive, by node. */
    public static final String LIVENESS_PROBES = "live/challenge/";
    /** Prefix of the final states of jobs, by job. */
    public static final String FINAL_STATES = "final/";

    private Keys() {}

    /** Key of a job's header. */
    public static String job(String id) {
        return JOBS + id;
    }

    /** Key of a task range. */
    public static String tasks(String job, int index) {
        return TASKS + job + "/" + index;
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
