package org.havenford.protocol;

/** Task 3 of job j-000412 is {@code j-000412/3}. */
public record TaskId(String job, int index) implements Comparable<TaskId> {
    /** Reads an id of the form j-000412/3. */
    public static TaskId parse(String s) throws Json.BadMessage {
        int slash = s.indexOf('/');
        if (slash < 1 || !JobSpec.validId(s.substring(0, slash))) {
            throw new Json.BadMessage("shot is not of the form j-000412/3");
        }
        try {
            int index = Integer.parseInt(s.substring(slash + 1));
            if (index < 0) {
                throw new Json.BadMessage("shot has a negative number");
            }
            return new TaskId(s.substring(0, slash), index);
        } catch (NumberFormatException e) {
            throw new Json.BadMessage("shot is not of the form j-000412/3");
        }
    }

    @Override
    public int compareTo(TaskId o) {
        int c = job.compareTo(o.job);
        return c != 0 ? c : Integer.compare(index, o.index);
    }

    @Override
    public String toString() {
        return job + "/" + index;
    }
}
