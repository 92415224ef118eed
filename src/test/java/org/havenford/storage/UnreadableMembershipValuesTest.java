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

/** Membership values of the wrong form change nothing, except that a probe reaches its member in any form. */
class UnreadableMembershipValuesTest {
    private final List<Object> told = new ArrayList<>();
    private final ClusterState clusterState = new ClusterState();

    UnreadableMembershipValuesTest() {
        clusterState.setObserver(new ClusterState.Observer() {
            @Override
            public void viewChanged(ClusterView view, long modRevision) {
                told.add(String.valueOf(view));
            }

            @Override
            public void memberChanged(String node, MemberRegistration registration, long modRevision) {
                told.add(node + " " + registration);
            }

            @Override
            public void livenessProbeChanged(String node, LivenessProbe probe, long modRevision) {
                told.add(probe);
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
    void aViewOfTheWrongFormIsNotHandedOver() {
        for (String members : List.of("{\"n\":\"x\"}", "{\"n\":null}", "{\"n\":{}}", "{\"n\":[]}", "7")) {
            String view = "{\"epoch\":1,\"members\":" + members + ",\"moved\":{},\"resting\":[]}";
            clusterState.changed(Keys.VIEW, json(view), 1);
        }
        clusterState.changed(Keys.VIEW, json("{\"epoch\":1,\"members\":{},\"moved\":{\"m\":{}},\"resting\":[]}"), 1);
        assertEquals(List.of(), told);
    }

    @Test
    void aRegistrationOfTheWrongFormIsNotHandedOver() {
        clusterState.changed(Keys.member("n"), json("{\"format\":3}"), 1);
        clusterState.changed(Keys.member("n"), json("{\"incarnation\":7,\"format\":\"3\"}"), 1);
        assertEquals(List.of(), told);
        clusterState.changed(Keys.member("n"), json("{\"incarnation\":7}"), 1);
        assertEquals(List.of("n " + new MemberRegistration(7, 1)), told);
    }

    @Test
    void valuesThatAreGoneAreHandedOverAsNull() {
        clusterState.changed(Keys.VIEW, null, 1);
        clusterState.changed(Keys.member("n"), null, 2);
        clusterState.changed(Keys.livenessProbe("n"), null, 3);
        assertEquals("null", told.get(0));
        assertEquals("n null", told.get(1));
        assertNull(told.get(2));
    }

    @Test
    void aProbeOfAnyFormIsHandedOver() {
        clusterState.changed(Keys.livenessProbe("n"), json("{}"), 1);
        assertEquals(new LivenessProbe(null, null, null), told.get(0));
        clusterState.changed(Keys.livenessProbe("n"), json("{\"by\":5,\"incarnation\":\"x\"}"), 2);
        LivenessProbe unreadable = (LivenessProbe) told.get(1);
        assertNull(unreadable.requester());
        assertNotNull(unreadable.readError());
        clusterState.changed(Keys.livenessProbe("n"), new LivenessProbe("node-1", 5).toJson(), 3);
        assertEquals(new LivenessProbe("node-1", 5), told.get(2));
    }
}
