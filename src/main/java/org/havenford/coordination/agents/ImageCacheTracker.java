package org.havenford.coordination.agents;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.havenford.protocol.MachineType;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.MachineRecord;

/** Works out which images the machines of this controller have cached, from the tasks that ran there. */
final class ImageCacheTracker {
    private static final int MAX_IMAGES = 20;
    /** Size of an image of which no job is known, in GB. */
    private static final Double DEFAULT_IMAGE_GB = 5.0;

    private final ClusterState clusterState;
    private final AgentListener listener;
    private final Object2ObjectOpenHashMap<String, Double> sizesGb = new Object2ObjectOpenHashMap<>();

    /** {@code listener} is told of machines whose images have changed. */
    ImageCacheTracker(ClusterState clusterState, AgentListener listener) {
        this.clusterState = clusterState;
        this.listener = listener;
    }

    /** A task of the job has its image: it goes to the front, and what no longer fits the cache drops out. */
    void used(AgentState agent, Job job) {
        MachineRecord onRecord = clusterState.machine(agent.machine());
        if (job == null || onRecord == null) {
            return;
        }
        String image = job.spec().image();
        sizesGb.put(image, (Double) job.spec().imageGb());
        if (agent.images() == null) {
            agent.setImages(onRecord.images());
        }
        List<String> cached = agent.images();
        if (!cached.isEmpty() && cached.get(0).equals(image)) {
            return;
        }
        List<String> latestFirst = new ArrayList<>(cached);
        latestFirst.remove(image);
        latestFirst.add(0, image);
        MachineType type = clusterState.types().get(onRecord.type());
        agent.setImages(fitting(latestFirst, type == null ? 0 : type.cacheGb()));
        listener.capacityChanged(agent.machine());
    }

    private List<String> fitting(List<String> latestFirst, double cacheGb) {
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
