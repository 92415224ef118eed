package org.havenford.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.LivenessProbe;
import org.havenford.storage.records.MemberRegistration;
import org.junit.jupiter.api.Test;

/**
 * Tests malformed membership values in the store. The observer must not receive a malformed view or registration. It must
 * receive a liveness probe in any form, since a member has to answer every probe.
 */
class UnreadableMembershipValuesTest {
    private final List<Object> received = new ArrayList<>();
    private final ClusterState clusterState = new ClusterState();

    UnreadableMembershipValuesTest() {
        clusterState.setObserver(new ClusterState.Observer() {
            @Override
            public void viewChanged(ClusterView view, long modRevision) {
                received.add(String.valueOf(view));
            }

            @Override
            public void memberChanged(String node, MemberRegistration registration, long modRevision) {
                received.add(node + " " + registration);
            }

            @Override
            public void livenessProbeChanged(String node, LivenessProbe probe, long modRevision) {
                received.add(probe);
            }

            @Override
            public void machineChanged(String machine) {}

            @Override
            public void changesApplied() {}

            @Override
            public void jobEnded(Job last) {}

            @Override
            public void loaded() {}
        });
    }

    private static JsonObject json(String text) {
        return JsonParser.parseString(text).getAsJsonObject();
    }

    @Test
    void aMalformedViewDoesNotReachTheObserver() {
        for (String members : List.of("{\"n\":\"x\"}", "{\"n\":null}", "{\"n\":{}}", "{\"n\":[]}", "7")) {
            String view = "{\"epoch\":1,\"members\":" + members + ",\"moved\":{},\"resting\":[]}";
            clusterState.changed(Keys.VIEW, json(view), 1);
        }
        clusterState.changed(Keys.VIEW, json("{\"epoch\":1,\"members\":{},\"moved\":{\"m\":{}},\"resting\":[]}"), 1);
        assertEquals(List.of(), received);
    }

    @Test
    void aMalformedRegistrationDoesNotReachTheObserver() {
        clusterState.changed(Keys.member("n"), json("{\"format\":3}"), 1);
        clusterState.changed(Keys.member("n"), json("{\"incarnation\":7,\"format\":\"3\"}"), 1);
        assertEquals(List.of(), received);
        clusterState.changed(Keys.member("n"), json("{\"incarnation\":7}"), 1);
        assertEquals(List.of("n " + new MemberRegistration(7, 1)), received);
    }

    @Test
    void deletedValuesReachTheObserverAsNull() {
        clusterState.changed(Keys.VIEW, null, 1);
        clusterState.changed(Keys.member("n"), null, 2);
        clusterState.changed(Keys.livenessProbe("n"), null, 3);
        assertEquals("null", received.get(0));
        assertEquals("n null", received.get(1));
        assertNull(received.get(2));
    }

    @Test
    void aProbeOfAnyFormReachesTheObserver() {
        clusterState.changed(Keys.livenessProbe("n"), json("{}"), 1);
        assertEquals(new LivenessProbe(null, null, null), received.get(0));
        clusterState.changed(Keys.livenessProbe("n"), json("{\"by\":5,\"incarnation\":\"x\"}"), 2);
        LivenessProbe unreadable = (LivenessProbe) received.get(1);
        assertNull(unreadable.requester());
        assertNotNull(unreadable.readError());
        clusterState.changed(Keys.livenessProbe("n"), new LivenessProbe("node-1", 5).toJson(), 3);
        assertEquals(new LivenessProbe("node-1", 5), received.get(2));
    }
}
