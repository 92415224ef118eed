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
    private static final int MOST_IMAGES = 20;
    /** Size of an image of which no job is known, in GB. */
    private static final Double USUAL_GB = 5.0;

    private final ClusterState clusterState;
    private final AgentListener listener;
    private final Object2ObjectOpenHashMap<String, Double> sizes = new Object2ObjectOpenHashMap<>();

    /** {@code listener} is told of machines whose images have changed. */
    ImageCacheTracker(ClusterState clusterState, AgentListener listener) {
        this.clusterState = clusterState;
        this.listener = listener;
    }

    /** A task of the job has its image: it goes to the front, and what no longer fits the cache drops out. */
    void used(AgentState machine, Job job) {
        MachineRecord machineRecord = clusterState.machine(machine.name);
        if (job == null || machineRecord == null) {
            return;
        }
        String image = job.spec().image();
        sizes.put(image, (Double) job.spec().imageGb());
        if (machine.images == null) {
            machine.images = machineRecord.images();
        }
        if (!machine.images.isEmpty() && machine.images.get(0).equals(image)) {
            return;
        }
        List<String> latestFirst = new ArrayList<>(machine.images);
        latestFirst.remove(image);
        latestFirst.add(0, image);
        MachineType type = clusterState.types().get(machineRecord.type());
        machine.images = fitting(latestFirst, type == null ? 0 : type.cacheGb());
        listener.capacityChanged(machine.name);
    }

    private List<String> fitting(List<String> latestFirst, double cacheGb) {
        double room = cacheGb;
        List<String> kept = new ArrayList<>();
        for (String image : latestFirst) {
            room -= sizes.getOrDefault(image, USUAL_GB);
            if (room >= 0 && kept.size() < MOST_IMAGES) {
                kept.add(image);
            }
        }
        return kept;
    }
}
