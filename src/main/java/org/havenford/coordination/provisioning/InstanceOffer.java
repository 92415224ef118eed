package org.havenford.coordination.provisioning;

import org.havenford.protocol.CloudMessages.ListedMachine;
import org.havenford.storage.records.InstanceRequest;
import org.havenford.storage.records.MachineRecord;

/** An instance kind in one zone: what one request to the cloud can ask for. */
record InstanceOffer(InstanceKind kind, String zone) {
    /** The offer that a machine on record came from. */
    static InstanceOffer of(MachineRecord machine) {
        return new InstanceOffer(InstanceKind.of(machine), machine.zone());
    }

    /** The offer that a machine in the cloud's list came from. */
    static InstanceOffer of(ListedMachine machine) {
        return new InstanceOffer(new InstanceKind(machine.type(), machine.spot()), machine.zone());
    }

    /** The offer that an instance request asks for. */
    static InstanceOffer of(InstanceRequest request) {
        return new InstanceOffer(InstanceKind.of(request), request.zone());
    }
}
