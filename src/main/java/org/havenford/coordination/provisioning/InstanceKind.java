package org.havenford.coordination.provisioning;

import org.havenford.storage.records.InstanceRequest;
import org.havenford.storage.records.MachineRecord;

/** A machine type together with its purchase option: spot or on-demand. */
public record InstanceKind(String type, boolean spot) {
    /** Returns the kind of a recorded machine. */
    static InstanceKind of(MachineRecord machine) {
        return new InstanceKind(machine.type(), machine.spot());
    }

    /** Returns the kind of the machines in an instance request. */
    static InstanceKind of(InstanceRequest request) {
        return new InstanceKind(request.type(), request.spot());
    }
}
