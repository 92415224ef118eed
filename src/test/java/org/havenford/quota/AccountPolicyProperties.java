package org.havenford.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.havenford.protocol.Json;

/** Whatever the accounts are, no decision creates room, takes from another, or gives what is in use. */
class AccountPolicyProperties {
    private static final String SEED = "29";
    private static final List<String> NODES = List.of("a", "b", "c", "d");
    private static final Amount CEILING = new Amount(40, 8);

    /** One controller's use of its account: what it holds, what is charged to it, and what it needs. */
    record Use(int share, int charged, int cards, int needed, int since) {}

    private static Accounts accounts(List<Use> uses) {
        Accounts accounts = Accounts.EMPTY;
        for (int i = 0; i < NODES.size(); i++) {
            Use use = uses.get(i);
            accounts = accounts.with(NODES.get(i), share(use));
            if (use.needed() > 0) {
                accounts = accounts.withNeed(NODES.get(i), need(use));
            }
        }
        return accounts;
    }

    private static Amount share(Use use) {
        return new Amount(use.share(), use.cards());
    }

    private static Amount held(Use use) {
        return new Amount(Math.min(use.share(), use.charged()), Math.min(use.cards(), use.charged()));
    }

    private static Accounts.Need need(Use use) {
        return new Accounts.Need(use.since(), new Amount(use.needed(), 0));
    }

    @Property(seed = SEED, tries = 1000)
    void settlingKeepsTheSumAndTheOthersAndWhatIsInUse(
            @ForAll("uses") List<Use> uses, @ForAll("selfIndex") int self, @ForAll boolean transfers) {
        Accounts before = accounts(uses);
        AccountPolicy policy = new AccountPolicy(CEILING, NODES.size(), transfers);
        Use own = uses.get(self);
        String node = NODES.get(self);
        Accounts.Need need = own.needed() > 0 ? need(own) : null;
        Accounts after = policy.settle(
                before,
                new AccountPolicy.Self(node, held(own), need, 5000),
                other -> held(uses.get(NODES.indexOf(other))));
        assertTrue(after.dealt().within(before.dealt()), "room was created");
        assertTrue(held(own).within(after.share(node)), "room in use was given");
        for (String other : NODES) {
            assertTrue(other.equals(node) || before.share(other).within(after.share(other)), other + " lost room");
        }
        if (transfers && !policy.exceeded(before)) {
            assertTrue(before.dealt().within(after.dealt()), "a transfer lost room");
        }
    }

    @Property(seed = SEED, tries = 1000)
    void aGrantStaysWithinTheCeilingAndTheAccount(
            @ForAll("uses") List<Use> uses, @ForAll("selfIndex") int self, @ForAll boolean transfers) {
        Accounts before = accounts(uses);
        AccountPolicy policy = new AccountPolicy(CEILING, NODES.size(), transfers);
        Use own = uses.get(self);
        String node = NODES.get(self);
        Amount one = new Amount(1 + own.since() % 3, 0);
        AccountPolicy.Grant grant = policy.grant(before, node, held(own), one, own.needed());
        Accounts after = grant.next() == null ? before : grant.next();
        if (policy.exceeded(before)) {
            assertEquals(0, grant.allowed(), "nothing is granted beyond a lowered ceiling");
        } else {
            assertTrue(after.dealt().within(CEILING), "the accounts hold more than the ceiling");
        }
        assertTrue(grant.allowed() == 0
                || held(own).plus(one.times(grant.allowed())).within(after.share(node)));
    }

    @Property(seed = SEED)
    void whatIsWrittenIsReadAgain(@ForAll("uses") List<Use> uses) throws Json.BadMessage {
        Accounts accounts = accounts(uses);
        Accounts read = Accounts.parse(Json.object(accounts.toJson().toString()));
        assertEquals(accounts.toJson(), read.toJson());
    }

    @Example
    void nonsenseIsNoAccount() {
        for (String bad : List.of(
                "{\"shares\":7,\"short\":[]}",
                "{\"shares\":{\"a\":[1]},\"short\":[]}",
                "{\"shares\":{\"a\":[-1,0]},\"short\":[]}",
                "{\"shares\":{\"a\":[\"x\",0]},\"short\":[]}",
                "{\"shares\":{\"a\":[1,0]},\"short\":[],\"needs\":{\"a\":[1,0]}}")) {
            assertThrows(Json.BadMessage.class, () -> Accounts.parse(Json.object(bad)), bad);
        }
    }

    @Example
    void unreadableAccountsGrantNothing() {
        AccountPolicy policy = new AccountPolicy(CEILING, NODES.size(), true);
        assertEquals(
                0,
                policy.grant(Accounts.UNREADABLE, "a", Amount.NONE, new Amount(1, 0), 3)
                        .allowed());
    }

    @Provide
    Arbitrary<Integer> selfIndex() {
        return Arbitraries.integers().between(0, NODES.size() - 1);
    }

    @Provide
    Arbitrary<List<Use>> uses() {
        Arbitrary<Integer> cpus = Arbitraries.integers().between(0, 12);
        Arbitrary<Integer> cards = Arbitraries.integers().between(0, 2);
        Arbitrary<Integer> since = Arbitraries.integers().between(0, 6000);
        return Combinators.combine(cpus, cpus, cards, cpus, since)
                .as(Use::new)
                .list()
                .ofSize(NODES.size());
    }
}
