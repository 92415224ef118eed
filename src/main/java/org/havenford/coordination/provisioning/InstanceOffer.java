package org.havenford.coordination.provisioning;

import org.havenford.protocol.CloudMessages.ListedMachine;
import org.havenford.storage.records.InstanceRequest;
import org.havenford.storage.records.MachineRecord;

/** An instance kind in one zone. Each instance request to the cloud is for exactly one offer. */
record InstanceOffer(InstanceKind kind, String zone) {
    /** Returns the offer of a recorded machine. */
    static InstanceOffer of(MachineRecord machine) {
        return new InstanceOffer(InstanceKind.of(machine), machine.zone());
    }

    /** Returns the offer of a machine in the cloud's list. */
    static InstanceOffer of(ListedMachine machine) {
        return new InstanceOffer(new InstanceKind(machine.type(), machine.spot()), machine.zone());
    }

    /** Returns the offer of the machines in an instance request. */
    static InstanceOffer of(InstanceRequest request) {
        return new InstanceOffer(InstanceKind.of(request), request.zone());
    }
}
