package org.havenford.coordination.provisioning;

import org.havenford.storage.records.InstanceRequest;
import org.havenford.storage.records.MachineRecord;

/** A machine type, as a spot instance or as an ordinary one. */
public record InstanceKind(String type, boolean spot) {
    /** The kind of a machine on record. */
    static InstanceKind of(MachineRecord machine) {
        return new InstanceKind(machine.type(), machine.spot());
    }

    /** The kind that an instance request asks for. */
    static InstanceKind of(InstanceRequest request) {
        return new InstanceKind(request.type(), request.spot());
    }
}
