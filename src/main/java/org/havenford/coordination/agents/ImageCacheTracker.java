package org.havenford.coordination.agents;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.havenford.protocol.MachineType;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.MachineRecord;

/** Derives the images in the caches of this controller's machines from the tasks that ran on them. */
final class ImageCacheTracker {
    private static final int MAX_IMAGES = 20;
    /** Assumed size, in GB, of an image whose size no job has specified so far. */
    private static final Double DEFAULT_IMAGE_GB = 5.0;

    private final ClusterState clusterState;
    private final AgentListener listener;
    private final Object2ObjectOpenHashMap<String, Double> sizesGb = new Object2ObjectOpenHashMap<>();

    /** Creates a tracker; {@code listener} is notified of each machine whose cached images have changed. */
    ImageCacheTracker(ClusterState clusterState, AgentListener listener) {
        this.clusterState = clusterState;
        this.listener = listener;
    }

    /** Moves the image of a job to the front of a machine's cached images, and drops images that no longer fit. */
    void recordUse(AgentState agent, Job job) {
        MachineRecord machineRecord = clusterState.machine(agent.machine());
        if (job == null || machineRecord == null) {
            return;
        }
        String image = job.spec().image();
        sizesGb.put(image, (Double) job.spec().imageGb());
        if (agent.images() == null) {
            agent.setImages(machineRecord.images());
        }
        List<String> cached = agent.images();
        if (!cached.isEmpty() && cached.get(0).equals(image)) {
            return;
        }
        List<String> latestFirst = new ArrayList<>(cached);
        latestFirst.remove(image);
        latestFirst.add(0, image);
        MachineType type = clusterState.types().get(machineRecord.type());
        agent.setImages(selectFitting(latestFirst, type == null ? 0 : type.cacheGb()));
        listener.capacityChanged(agent.machine());
    }

    private List<String> selectFitting(List<String> latestFirst, double cacheGb) {
        double freeGb = cacheGb;
        List<String> kept = new ArrayList<>();
        for (String image : latestFirst) {
            freeGb -= sizesGb.getOrDefault(image, DEFAULT_IMAGE_GB);
            if (freeGb >= 0 && kept.size() < MAX_IMAGES) {
                kept.add(image);
            }
        }
        return kept;
    }
}
