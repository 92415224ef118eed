package org.havenford.storage.records;

import com.google.common.base.Strings;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.protocol.TaskId;

/**
 * Codec of the compact form of a task range's claims: one string for all claims, with their common values stored once.
 * A claim is written as "TASK ATTEMPT MACHINE INCARNATION TIME HOLDER". The task is an offset from the first task of
 * the range, the machine name lacks the common prefix, the time is in milliseconds after the earliest claim, and the
 * quota holder is an index into the list of quota holders.
 */
final class CompactClaimsCodec {
    // Names of stored fields. Versions in production read and write them, so they must not change.
    private static final String MACHINE_PREFIX = "p";
    private static final String EARLIEST_CLAIM = "t";
    private static final String QUOTA_HOLDERS = "a";
    private static final String CLAIMS = "c";

    private static final String CLAIM_SEPARATOR = ";";
    private static final String PART_SEPARATOR = " ";

    private CompactClaimsCodec() {}

    /** Encodes the claims of a task range whose first task is {@code firstTask}. */
    static JsonObject encode(Collection<Claim> claims, int firstTask) {
        String machinePrefix = null;
        long earliest = Long.MAX_VALUE;
        for (Claim claim : claims) {
            machinePrefix =
                    machinePrefix == null ? claim.machine() : Strings.commonPrefix(machinePrefix, claim.machine());
            earliest = Math.min(earliest, claim.claimedAt().toEpochMilli());
        }
        List<String> quotaHolders = new ArrayList<>();
        StringBuilder encodedClaims = new StringBuilder();
        for (Claim claim : claims) {
            if (!quotaHolders.contains(claim.quotaHolder())) {
                quotaHolders.add(claim.quotaHolder());
            }
            encodedClaims
                    .append(encodedClaims.isEmpty() ? "" : CLAIM_SEPARATOR)
                    .append(claim.task().index() - firstTask)
                    .append(PART_SEPARATOR)
                    .append(claim.attempt())
                    .append(PART_SEPARATOR)
                    .append(claim.machine().substring(machinePrefix.length()))
                    .append(PART_SEPARATOR)
                    .append(claim.incarnation())
                    .append(PART_SEPARATOR)
                    .append(claim.claimedAt().toEpochMilli() - earliest)
                    .append(PART_SEPARATOR)
                    .append(quotaHolders.indexOf(claim.quotaHolder()));
        }
        JsonArray quotaHolderNames = new JsonArray();
        quotaHolders.forEach(quotaHolderNames::add);
        JsonObject json = new JsonObject();
        json.addProperty(MACHINE_PREFIX, machinePrefix == null ? "" : machinePrefix);
        json.addProperty(EARLIEST_CLAIM, claims.isEmpty() ? 0 : earliest);
        json.add(QUOTA_HOLDERS, quotaHolderNames);
        json.addProperty(CLAIMS, encodedClaims.toString());
        return json;
    }

    /**
     * Decodes the claims of a task range whose first task is {@code firstTask}. A malformed part of a claim results in
     * the unchecked exception of its conversion.
     */
    static List<Claim> decode(JsonObject json, String job, int firstTask) throws MalformedMessageException {
        String machinePrefix = Json.text(json, MACHINE_PREFIX);
        long earliest = Json.count(json, EARLIEST_CLAIM);
        List<String> quotaHolders = Json.texts(json, QUOTA_HOLDERS);
        String encodedClaims = Json.text(json, CLAIMS);
        List<Claim> claims = new ArrayList<>();
        for (String claim : encodedClaims.isEmpty() ? new String[0] : encodedClaims.split(CLAIM_SEPARATOR)) {
            String[] parts = claim.split(PART_SEPARATOR, -1);
            claims.add(new Claim(
                    new TaskId(job, firstTask + Integer.parseInt(parts[0])),
                    Long.parseLong(parts[1]),
                    machinePrefix + parts[2],
                    Long.parseLong(parts[3]),
                    Instant.ofEpochMilli(earliest + Long.parseLong(parts[4])),
                    quotaHolders.get(Integer.parseInt(parts[5]))));
        }
        return claims;
    }
}
