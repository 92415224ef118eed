package org.havenford.coordination.scheduling;

import java.util.List;
import org.havenford.storage.records.Job;

/**
 * The job at which the last round stopped early; the first job if it did not, or if that job is no longer in the list.
 */
final class ResumePoint {
    private String jobId;

    void set(Job job) {
        jobId = job.id();
    }

    /** Returns the index of the job to start with, and resets the resume point. */
    int indexIn(List<Job> jobs) {
        int from = 0;
        for (int i = 0; jobId != null && i < jobs.size(); i++) {
            if (jobs.get(i).id().equals(jobId)) {
                from = i;
            }
        }
        jobId = null;
        return from;
    }
}
