/** Grants of requests to cold endpoints: the limit holds over all entries, whatever messages are lost and whoever is paused. */
import { expect, test } from "vitest";
import { ColdBudget } from "../../src/core/budgets/coldBudget.js";
import { ColdGrants, grantDuration, settlingDuration } from "../../src/core/budgets/coldGrants.js";
import type { LentAllowance } from "../../src/ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../src/utils/clock.js";
import { type Random, seededRandom } from "../../src/utils/random.js";

const rate = 6;
const limits = { factor: 1.5, extra: 5 };
const limit = rate * limits.factor + limits.extra;
const endpoints = ["a", "b", "c"];
const placerCount = 4;
const stepDuration: Milliseconds = 5;
const silentLog = { info: () => {}, warn: () => {}, error: () => {} };

interface Faults {
    lossRatio: number;
    pausesPerSecond: number;
    restartsPerSecond: number;
    joinsPerSecond: number;
    /** Whether each entry has an opinion of its own on who is a placer. */
    disagree: boolean;
    /** Share of the entries that are of a build without grants. */
    earlierBuilds: number;
}

const noFaults: Faults = {
    lossRatio: 0,
    pausesPerSecond: 0,
    restartsPerSecond: 0,
    joinsPerSecond: 0,
    disagree: false,
    earlierBuilds: 0,
};

/** Entries that share the allowances of cold endpoints, with a network that loses, delays and doubles messages. */
class World {
    time: Milliseconds = 0;
    readonly arrivals: { endpoint: string; at: Milliseconds; }[] = [];
    readonly entries: Entry[] = [];
    private messages: { to: Entry; at: Milliseconds; apply: () => void; }[] = [];
    readonly clock: Clock = {
        now: () => this.time,
        wallTime: () => this.time,
        sleep: () => Promise.resolve(),
        after: () => () => {},
    };

    constructor(readonly random: Random, readonly faults: Faults, count: number) {
        for (let index = 0; index < count; index++) {
            this.entries.push(new Entry(this, `entry-${index}`, random.next() < faults.earlierBuilds, true));
        }
    }

    /** Delivers `apply` to `to`, unless the message is lost; a paused entry receives it when it goes on. */
    send(to: Entry, apply: () => void): void {
        const copies = this.random.next() < this.faults.lossRatio ? 0 : 1 + Number(this.random.next() < 0.05);
        for (let copy = 0; copy < copies; copy++) {
            this.messages.push({ to, at: this.time + 1 + 9 * this.random.next(), apply });
        }
    }

    run(duration: Milliseconds, demand: (entry: Entry) => number): void {
        const end = this.time + duration;
        for (; this.time < end; this.time += stepDuration) {
            this.injectFaults();
            const due = this.messages.filter(({ to, at }) => at <= this.time && to.pausedUntil <= this.time);
            this.messages = this.messages.filter(message => !due.includes(message));
            for (const { apply } of due) {
                apply();
            }
            for (const entry of this.entries) {
                if (entry.pausedUntil <= this.time && this.random.next() < demand(entry) * stepDuration / 1_000) {
                    entry.serve(this.pick(endpoints));
                }
            }
        }
    }

    pick<Item>(items: readonly Item[]): Item {
        return items[Math.floor(this.random.next() * items.length)]!;
    }

    /** The most requests that one endpoint got in a second. */
    get highestCount(): number {
        let highest = 0;
        for (const endpoint of endpoints) {
            const times = this.arrivals.filter(arrival => arrival.endpoint === endpoint).map(({ at }) => at)
                .sort((left, right) => left - right);
            let first = 0;
            for (const [index, time] of times.entries()) {
                while (times[first]! <= time - 1_000) {
                    first++;
                }
                highest = Math.max(highest, index - first + 1);
            }
        }
        return highest;
    }

    /** Share of the limit that was used from `since` on. */
    usedSince(since: Milliseconds): number {
        const count = this.arrivals.filter(({ at }) => at >= since).length;
        return count / (endpoints.length * limit * (this.time - since) / 1_000);
    }

    private injectFaults(): void {
        const { random, faults } = this;
        const happens = (perSecond: number) => random.next() < perSecond * stepDuration / 1_000;
        if (happens(faults.pausesPerSecond)) {
            const pause = random.next() < 0.3 ? 8_000 : 1_500;
            this.pick(this.entries.slice(0, 2 * placerCount)).pausedUntil = this.time + pause * random.next();
        }
        if (happens(faults.restartsPerSecond)) {
            const index = Math.floor(random.next() * this.entries.length);
            const { id, isEarlier, joinedAt } = this.entries[index]!;
            this.entries[index] = new Entry(this, id, isEarlier, false);
            this.entries[index].joinedAt = joinedAt;
        }
        if (happens(faults.joinsPerSecond)) {
            this.entries.push(new Entry(this, `entry-${this.entries.length}`, false, false));
        }
    }
}

class Entry {
    pausedUntil: Milliseconds = 0;
    /** When an entry of this name first appeared; the others know the name from then on, also while it restarts. */
    joinedAt: Milliseconds;
    readonly budget: ColdBudget;
    readonly grants: ColdGrants;
    private readonly learningDelay: Milliseconds;
    private requestCount = 0;

    constructor(
        private readonly world: World,
        readonly id: string,
        readonly isEarlier: boolean,
        isFirstStart: boolean,
    ) {
        const { clock, random } = world;
        this.joinedAt = isFirstStart ? -Infinity : clock.now();
        this.learningDelay = 1_000 * random.next();
        const entryCount = () => this.known.length + 1;
        this.budget = new ColdBudget(clock, () => limits, {
            get budgetDivisor() {
                return entryCount();
            },
            rank: key => this.known.filter(({ id: other }) => hash(key + other) < hash(key + id)).length,
        });
        this.grants = new ColdGrants({
            clock,
            random,
            log: silentLog,
            isOn: () => !isEarlier,
            isFirstStart,
            isPlacer: () => this.placers.includes(this),
            reachesPlacers: () => true,
            lendableParts: borrower =>
                endpoints.map(endpoint => ({ endpoint, count: this.budget.lendable(endpoint, rate, borrower) })),
            lenders: () =>
                this.known.filter(entry => !entry.isEarlier).map(entry => ({ id: entry.id, address: entry.id })),
            ask: (address, serial) => this.sendTo(address, to => to.grants.answer({ id, address: id }, serial)),
            lend: (address, serial, parts: LentAllowance[]) =>
                this.sendTo(address, to => to.grants.receive(id, serial, parts)),
        });
        if (!isEarlier) {
            this.budget.grants = this.grants;
            this.budget.lendsParts = () => true;
        }
    }

    /** The others that this entry knows. It learns of one that joins within a second. */
    get known(): Entry[] {
        const { entries, time } = this.world;
        return entries.filter(entry => entry.id !== this.id && entry.joinedAt + this.learningDelay <= time);
    }

    /** The placers in this entry's opinion. */
    get placers(): Entry[] {
        const { entries, faults, time } = this.world;
        const round = Math.floor(time / 2_000);
        const first = faults.disagree ? hash(`${this.id}${round}`) % (2 * placerCount) : 0;
        return entries.slice(first, first + placerCount);
    }

    /** Sends a request to `endpoint` from this entry's own part, or asks a placer for a grant. */
    serve(endpoint: string): void {
        const isPlacer = this.placers.includes(this);
        if (isPlacer && !this.isEarlier) {
            const isAllowed = this.budget.allows(endpoint, rate, true);
            this.grants.recordDemand(!isAllowed);
        }
        if (this.budget.allows(endpoint, rate, !this.isEarlier)) {
            this.sendRequest(endpoint);
        }
        else if (!isPlacer && !this.isEarlier) {
            const askedAt = this.world.time;
            const placer = this.world.pick(this.placers);
            this.sendTo(placer.id, to => to.grant(this, endpoint, askedAt));
        }
    }

    private grant(asker: Entry, endpoint: string, askedAt: Milliseconds): void {
        const mayGrant = this.budget.mayGrant(endpoint, rate);
        this.grants.recordDemand(!mayGrant);
        if (!mayGrant) {
            return;
        }
        this.budget.recordGranted(endpoint);
        let isUsed = false;
        this.sendTo(asker.id, to => {
            if (to === asker && !isUsed) {
                isUsed = true;
                const request = `${asker.id}/${asker.requestCount++}`;
                to.budget.receiveGrant(request, endpoint, askedAt + grantDuration);
                to.sendRequest(endpoint, request);
            }
        });
    }

    private sendRequest(endpoint: string, request?: string): void {
        if (this.budget.recordSent(endpoint, request)) {
            this.world.arrivals.push({ endpoint, at: this.world.time + 50 * this.world.random.next() });
        }
    }

    private sendTo(id: string, apply: (to: Entry) => void): void {
        const to = this.world.entries.find(entry => entry.id === id);
        if (to) {
            this.world.send(to, () => apply(to));
        }
    }
}

const hashes = new Map<string, number>();
const hash = (text: string): number => {
    let value = hashes.get(text);
    if (value === undefined) {
        value = 0;
        for (const character of text) {
            value = Math.imul(value ^ character.charCodeAt(0), 0x45d9f3b) >>> 0;
        }
        hashes.set(text, value);
    }
    return value;
};

const evenly = (perSecond: number, count: number) => () => perSecond / count;

for (const count of [30, 145]) {
    test(`most of the limit is used, ${count} entries`, () => {
        // Guards against parts that stay with entries that send nothing.
        for (const skewed of [false, true]) {
            const world = new World(seededRandom(1), noFaults, count);
            world.run(8_000, skewed ? ({ id }) => id === `entry-${count - 1}` ? 80 : 0 : evenly(80, count));
            expect(world.usedSince(4_000)).toBeGreaterThan(0.6);
            expect(world.highestCount).toBeLessThanOrEqual(limit);
        }
    });
}

const cases: Record<string, Partial<Faults>> = {
    "lost messages": { lossRatio: 0.3 },
    "pauses of placers": { pausesPerSecond: 1 },
    restarts: { restartsPerSecond: 2 },
    "entries that join": { joinsPerSecond: 0.3 },
    "entries that disagree about the placers": { disagree: true },
    "entries of an earlier build": { earlierBuilds: 0.4 },
    "all of it": {
        lossRatio: 0.2,
        pausesPerSecond: 1,
        restartsPerSecond: 1,
        joinsPerSecond: 0.2,
        disagree: true,
        earlierBuilds: 0.2,
    },
};

for (const [name, faults] of Object.entries(cases)) {
    test(`the limit holds: ${name}`, () => {
        // Guards against a part that its owner and a placer, or two placers, use at the same time.
        for (let seed = 1; seed <= 4; seed++) {
            const world = new World(seededRandom(seed), { ...noFaults, ...faults }, 30);
            world.run(20_000, evenly(120, 30));
            expect(world.usedSince(4_000)).toBeGreaterThan(0.2);
            expect(world.highestCount, `seed ${seed}`).toBeLessThanOrEqual(limit);
        }
    });
}

test("placer that has just started grants nothing", () => {
    // Guards against a placer that has forgotten what its earlier process granted.
    const world = new World(seededRandom(1), noFaults, 30);
    const restarted = world.entries[0] = new Entry(world, "entry-0", false, false);
    expect(restarted.grants.mayGrant).toBe(false);
    world.time += settlingDuration;
    expect(restarted.grants.mayGrant).toBe(true);
});

test("loan that reaches a placer late is void", () => {
    // Guards against a placer that was paused and counts a loan from when it reads the answer.
    const world = new World(seededRandom(1), noFaults, 30);
    const { grants } = world.entries[0]!;
    grants.recordDemand(true);
    world.time += 1_000;
    grants.receive("entry-20", 1, [{ endpoint: "a", count: 1 }]);
    expect(grants.borrowed("a")).toBe(1);
    world.time += 1_000;
    grants.receive("entry-21", 1, [{ endpoint: "a", count: 1 }]);
    expect(grants.borrowed("a")).toBe(0);
});

test("grant that has ended isn't used", () => {
    // Guards against a request that an entry sends after a pause, when the placer no longer counts it.
    const world = new World(seededRandom(1), noFaults, 30);
    const { budget } = world.entries[20]!;
    budget.receiveGrant("request", "a", grantDuration);
    world.time = grantDuration;
    expect(budget.recordSent("a", "request")).toBe(false);
});
