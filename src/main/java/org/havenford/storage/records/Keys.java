package org.havenford.storage.records;

/** The keys of the store. Every controller replicates all of them except the final states of jobs. */
public final class Keys {
    /** Prefix of all keys that every controller replicates. */
    public static final String REPLICATED = "live/";
    /** Key of the cluster view. */
    public static final String VIEW = "live/view";
    /** Key of the machine types that the cloud offers. */
    public static final String TYPES = "live/types";
    /** Prefix of the registrations of members, followed by the node. */
    public static final String MEMBERS = "live/member/";
    /** Prefix of the headers of jobs that have not ended, followed by the job id. */
    public static final String JOBS = "live/job/";
    /** Prefix of task ranges, followed by the job id and the index of the range. */
    public static final String TASKS = "live/tasks/";
    /** Prefix of machine batches, followed by the name of the batch. */
    public static final String MACHINES = "live/machine/";
    /** Prefix of reported machine statuses, followed by the owner and the number of the part. */
    public static final String MACHINE_STATUSES = "live/heard/";
    /** Prefix of team quotas, followed by the team. */
    public static final String TEAMS = "live/team/";
    /** Prefix of instance requests, followed by the name of the request. */
    public static final String INSTANCE_REQUESTS = "live/booking/";
    /** Prefix of liveness probes, followed by the probed node. */
    public static final String LIVENESS_PROBES = "live/challenge/";
    /** Prefix of the final states of jobs, followed by the job id. */
    public static final String FINAL_STATES = "final/";

    private Keys() {}

    /** Returns the key of a job's header. */
    public static String job(String id) {
        return JOBS + id;
    }

    /** Returns the key of a task range. */
    public static String tasks(String job, int index) {
        return TASKS + job + "/" + index;
    }

    /** Returns the key of a machine batch. */
    public static String batch(String name) {
        return MACHINES + name;
    }

    /** Returns the key of one part of the machine statuses that an owner reports. */
    public static String machineStatuses(String node, int part) {
        return MACHINE_STATUSES + node + "/" + part;
    }

    /** Returns the key of a team's quota. */
    public static String team(String name) {
        // Team names come from the settings and may contain any character, but keys may not contain spaces.
        return TEAMS + name.replaceAll("[^A-Za-z0-9_.-]", "_");
    }

    /** Returns the key of a member's registration, which is attached to the member's lease. */
    public static String member(String node) {
        return MEMBERS + node;
    }

    /** Returns the key of the liveness probe of a suspected member. */
    public static String livenessProbe(String node) {
        return LIVENESS_PROBES + node;
    }

    /** Returns the key of an instance request. */
    public static String instanceRequest(String name) {
        return INSTANCE_REQUESTS + name;
    }

    /** Returns the key of a job's final state. */
    public static String finalState(String job) {
        return FINAL_STATES + job;
    }
}
