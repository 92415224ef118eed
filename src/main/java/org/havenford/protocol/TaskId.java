package org.havenford.protocol;

/** Id of a task: its job and its index in the job, written as {@code j-000412/3} for task 3 of job j-000412. */
public record TaskId(String job, int index) implements Comparable<TaskId> {
    /** Parses an id of the form {@code j-000412/3}. */
    public static TaskId parse(String text) throws MalformedMessageException {
        int slash = text.indexOf('/');
        if (slash < 1 || !JobSpec.isValidId(text.substring(0, slash))) {
            throw new MalformedMessageException("shot is not of the form j-000412/3");
        }
        try {
            int index = Integer.parseInt(text.substring(slash + 1));
            if (index < 0) {
                throw new MalformedMessageException("shot has a negative number");
            }
            return new TaskId(text.substring(0, slash), index);
        } catch (NumberFormatException e) {
            throw new MalformedMessageException("shot is not of the form j-000412/3");
        }
    }

    @Override
    public int compareTo(TaskId other) {
        int byJob = job.compareTo(other.job);
        return byJob != 0 ? byJob : Integer.compare(index, other.index);
    }

    @Override
    public String toString() {
        return job + "/" + index;
    }
}
