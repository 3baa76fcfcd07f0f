/** Propagation of stored changes around a stalled store: entries, their updates and the store in simulated time. */
import { expect, test } from "vitest";
import { StateFollower } from "../../src/core/configuration/stateFollower.js";
import type { StateMirror } from "../../src/core/configuration/stateMirror.js";
import { Membership } from "../../src/core/membership/membership.js";
import { Peers } from "../../src/core/membership/peers.js";
import { PeerState } from "../../src/core/membership/peerState.js";
import { LoadEstimator } from "../../src/core/placement/loadEstimator.js";
import { SharedLoadEstimator } from "../../src/core/placement/sharedLoadEstimator.js";
import type { KnownRevisions, PeerChannelPort, PeerIdentity } from "../../src/ports/peerChannelPort.js";
import type { PeerStatePort } from "../../src/ports/peerStatePort.js";
import { StateError, StateKind, type StatePort } from "../../src/ports/statePort.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { withTimeout } from "../../src/utils/bounds.js";
import type { Milliseconds } from "../../src/utils/clock.js";
import { silentLog } from "../../src/utils/log.js";
import { type Random, seededRandom } from "../../src/utils/random.js";

const kind = StateKind.DataCentresOut;
/** Time of the store's response, and the network delay between two entries. */
const responseTime: Milliseconds = 4;
const peerDelay: Milliseconds = 1;
/** A store client cancels a call this long after its wait has elapsed. */
const callTimeoutMargin: Milliseconds = 700;
/** Time without disturbance after which an entry must apply every change in time, and the time within which it must do so. */
const settledAfter: Milliseconds = 3_000;
const changeDeadline: Milliseconds = 2_000;

/** A store that never answers the calls that are open when it stalls. */
class StallingStore {
    callCount = 0;
    revision = 1;
    private isStalled = false;
    private rejectedEntries: ReadonlySet<number> = new Set();
    private waiting = new Set<() => void>();
    private readonly changedAt: { revision: number; at: Milliseconds; }[] = [];

    constructor(private readonly clock: SimulatedClock) {}

    stall(): void {
        this.isStalled = true;
        this.waiting = new Set();
    }

    recover(): void {
        this.isStalled = false;
    }

    change(): void {
        this.revision++;
        this.changedAt.push({ revision: this.revision, at: this.clock.now() });
        const woken = this.waiting;
        this.waiting = new Set();
        for (const wake of woken) {
            wake();
        }
    }

    /** From now on, calls of these entries get no response. */
    rejectEntries(entries: ReadonlySet<number>): void {
        this.rejectedEntries = entries;
    }

    /** Creates the port of one entry. */
    port(entry: number): StatePort {
        return {
            list: (...[, signal]) => this.call(entry, 0, signal, () => ({ revision: this.revision, items: [] })),
            watch: (...[, revision, wait, signal]) => this.watch(entry, revision, wait, signal),
            announce: () => Promise.resolve(),
            withdraw: () => Promise.resolve(),
        };
    }

    private watch(entry: number, revision: number, wait: Milliseconds, signal: AbortSignal) {
        const answer = () => ({
            revision: this.revision,
            changes: this.changedAt.filter(change => change.revision > revision)
                .map(change => ({ name: `at-${change.at}`, revision: change.revision, value: true, removed: false })),
        });
        return this.call(entry, this.revision > revision ? 0 : wait, signal, answer as () => never);
    }

    private async call<Answer>(
        entry: number,
        wait: Milliseconds,
        signal: AbortSignal,
        answer: () => Answer,
    ): Promise<Answer> {
        this.callCount++;
        try {
            return await withTimeout(this.clock, wait + callTimeoutMargin, "the store's response", async () => {
                if (this.isStalled) {
                    await new Promise<never>(() => {});
                }
                await this.untilWoken(wait);
                if (this.rejectedEntries.has(entry)) {
                    await new Promise<never>(() => {});
                }
                await this.clock.sleep(responseTime);
                return answer();
            }, signal);
        }
        catch (error) {
            throw new StateError(String(error));
        }
    }

    private untilWoken(wait: Milliseconds): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                this.waiting.delete(wake);
                resolve();
            };
            this.waiting.add(wake);
            this.clock.after(wait, () => {
                // A call that was open when the store stalled never gets a response.
                if (this.waiting.has(wake)) {
                    wake();
                }
            });
        });
    }
}

interface Entry {
    peers: Peers;
    mirror: StateMirror<true>;
    /** When it applied each change, by revision. */
    appliedAt: Map<number, Milliseconds>;
    abort: AbortController;
}

/** Simulated entries that follow one kind of stored objects. */
class Fleet {
    readonly clock = new SimulatedClock();
    readonly store = new StallingStore(this.clock);
    readonly running = new Map<string, Entry>();
    private startCount = 0;
    private readonly random: Random;

    constructor(private readonly count: number, seed: number) {
        this.random = seededRandom(seed);
        for (const index of Array(count).keys()) {
            this.start(index);
        }
    }

    start(index: number): void {
        const { clock, random } = this;
        const self: PeerIdentity = {
            id: `entry-${index}`,
            address: `a-${index}`,
            incarnation: String(this.startCount++),
        };
        const known = (): KnownRevisions =>
            follower.mirror.revision === undefined ? {} : { [kind]: follower.mirror.lastChange };
        const peers: Peers = new Peers({
            clock,
            log: silentLog,
            channel: this.channel(),
            loads: new SharedLoadEstimator(new LoadEstimator(clock, () => undefined), clock),
            publishesLoads: false,
            self,
            dataCentre: `centre-${index % 3}`,
            knownRevisions: known,
            readAges: () => follower.readAge === undefined ? {} : { [kind]: follower.readAge },
            isStoreReachable: () => follower.isStoreReachable,
            activeRequestIds: () => [],
        });
        const membership = new Membership(peers, self.id);
        const peerState = new PeerState(peers, this.statePort(), membership, `centre-${index % 3}`, random);
        const appliedAt = new Map<number, Milliseconds>();
        const recordApplied = (revision: number) => {
            if (!appliedAt.has(revision)) {
                appliedAt.set(revision, clock.now());
            }
        };
        const follower: StateFollower<typeof kind> = new StateFollower(
            { store: this.store.port(index), peers: peerState, clock, random, log: silentLog, peerWaitTimeout: 20 },
            kind,
            {
                replace: ({ revision }) => recordApplied(revision),
                apply: ({ changes }) => changes.forEach(({ revision }) => recordApplied(revision)),
            },
        );
        peers.onStateDelta = change => follower.applyDelta(change);
        const ending = new AbortController();
        this.running.set(self.address, { peers, mirror: follower.mirror, appliedAt, abort: ending });
        peers.applyListing(
            [...Array(this.count).keys()].map(other => ({ id: `entry-${other}`, address: `a-${other}` })),
        );
        void peers.runHeartbeats(ending.signal);
        void follower.run(ending.signal);
    }

    kill(index: number): void {
        this.running.get(`a-${index}`)?.abort.abort();
        this.running.delete(`a-${index}`);
    }

    /** When the last entry applied the change at `revision`; infinite if an entry hasn't. */
    appliedByAllAt(revision: number): Milliseconds {
        return Math.max(...[...this.running.values()].map(({ mirror, appliedAt }) => {
            const later = [...appliedAt].filter(([applied]) => applied >= revision).map(([, at]) => at);
            return (mirror.revision ?? 0) >= revision ? Math.min(...later) : Infinity;
        }));
    }

    private channel(): PeerChannelPort {
        return {
            send: (addresses, packet) => {
                for (const address of addresses) {
                    this.clock.after(peerDelay, () => this.running.get(address)?.peers.receive(packet));
                }
            },
        };
    }

    private statePort(): PeerStatePort {
        const ask = async (...[address, , revision]: [string, StateKind, number]) => {
            await this.clock.sleep(peerDelay);
            return this.running.get(address)?.mirror.updateSince(revision);
        };
        return {
            fetchUpdate: ask as PeerStatePort["fetchUpdate"],
            fetchWorkInProgress: () => Promise.resolve(undefined),
        };
    }
}

for (const count of [7, 40]) {
    test(`change after a stalled store recovers, ${count} entries`, async () => {
        // The store stalls for eight seconds, and most entries restart meanwhile. All calls started before its recovery stay
        // unanswered. Without new calls, entries would serve requests with a configuration that was replaced seconds ago.
        const fleet = new Fleet(count, 1);
        const { clock, store } = fleet;
        await clock.run(4_000);
        store.change();
        await clock.run(6_000);
        store.stall();
        await clock.run(9_000);
        const killed = [...Array(Math.ceil(count * 0.6)).keys()];
        for (const index of killed) {
            fleet.kill(index);
        }
        await clock.run(9_200);
        for (const index of killed) {
            fleet.start(index);
        }
        const backAt = 14_000;
        await clock.run(backAt);
        store.recover();
        await clock.run(backAt + settledAfter - changeDeadline);
        store.change();
        const { revision } = store;
        await clock.run(30_000);
        expect(fleet.appliedByAllAt(revision)).toBeLessThanOrEqual(backAt + settledAfter);
    });
}

for (const stallDuration of [100, 1_000, 2_500]) {
    test(`change after the store stalled for ${stallDuration} ms`, async () => {
        // All open calls stall permanently at once, and new calls work soon after.
        for (const seed of [1, 2, 3]) {
            const fleet = new Fleet(7, seed);
            const { clock, store } = fleet;
            const stalledAt = 10_000 + 700 * seed;
            await clock.run(stalledAt);
            store.stall();
            const backAt = stalledAt + stallDuration;
            await clock.run(backAt);
            store.recover();
            await clock.run(backAt + settledAfter - changeDeadline);
            store.change();
            const { revision } = store;
            await clock.run(40_000);
            expect(fleet.appliedByAllAt(revision)).toBeLessThanOrEqual(backAt + settledAfter);
        }
    });
}

/** 1% of the store's call rate for one of three kinds; the store takes 2,000 calls a second on small sites, 6,000 on others. */
const sitesOfCalls = [{ count: 7, callsPerSecond: 6 }, { count: 40, callsPerSecond: 20 }];

for (const { count, callsPerSecond } of sitesOfCalls) {
    test(`calls to the store, ${count} entries`, async () => {
        // Each call has a cost and counts toward the store's rate limit. If the calls grew with the number of entries, the
        // store would reject a large site's calls, most of all after an outage.
        const fleet = new Fleet(count, 1);
        const { clock, store } = fleet;
        await clock.run(10_000);
        const initialCallCount = store.callCount;
        await clock.run(30_000);
        const normalCallCount = store.callCount - initialCallCount;
        store.stall();
        await clock.run(40_000);
        const outageCallCount = store.callCount - initialCallCount - normalCallCount;
        expect(normalCallCount).toBeLessThanOrEqual(20);
        expect(outageCallCount).toBeLessThanOrEqual(10 * callsPerSecond);
    });
}

for (const first of [0, 3]) {
    test(`store responds to three of seven entries, not to the four from ${first} on`, async () => {
        // If the others waited for higher-ranked entries that get no response, no entry would receive a change.
        const fleet = new Fleet(7, 1);
        const { clock, store } = fleet;
        await clock.run(5_000);
        store.rejectEntries(new Set([0, 1, 2, 3].map(index => first + index)));
        await clock.run(8_000);
        store.change();
        const { revision } = store;
        await clock.run(20_000);
        expect(fleet.appliedByAllAt(revision)).toBeLessThanOrEqual(8_000 + changeDeadline);
    });
}
