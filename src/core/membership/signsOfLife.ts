/**
 * Who hears that this entry lives, and how often.
 *
 * Load pattern: hundreds of entries that would do little else if each heard each other twice a second. Those hear it often who
 * go by it: who chooses endpoints for this entry, or is chosen for by it, and everybody where this entry watches the store.
 */
import type { PeerStatus, PeerUpdate } from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { NewsSender } from "./newsSender.js";
import type { PeerRegistry } from "./peerRegistry.js";
import type { PlacerSet } from "./placers.js";

/** How often an entry says that it lives. A lost message about an end is put right by the next one. */
const signInterval: Milliseconds = 500;
/** How often one does that watches the store for all, so that another takes its place before a change is overdue. */
const vitalSignInterval: Milliseconds = 250;
/** How often an entry whose work others choose says that it lives: only they go by it, and they hear dozens. */
const rareSignInterval: Milliseconds = 1_000;
/**
 * How often entries of other groups hear it: at the least, and for each entry there is. What is lost on the way to them is put
 * right later; hundreds of entries that hear each other twice a second would do little else.
 */
const farSignAtLeast: Milliseconds = 2_000;
const farSignPerEntry: Milliseconds = 30;
/**
 * The first signs of life go to each entry itself. Until all know the same entries they form different groups, and what is
 * passed on from group to group misses some.
 */
const firstSigns = 4;

/** What saying it needs. */
export interface SignsOfLifeParts {
    clock: Clock;
    registry: PeerRegistry;
    sender: NewsSender;
    dataCentre: string;
    placers: () => PlacerSet;
    /** Identifiers of this entry's requests in progress. */
    inProgress: () => string[];
    /** What this entry says of itself, with the time until it says so again. */
    status: (nextIn: Milliseconds) => PeerStatus;
}

/** Says that this entry lives. */
export class SignsOfLife {
    private signs = 0;
    private farSignAt: Milliseconds = -Infinity;

    constructor(private readonly parts: SignsOfLifeParts) {}

    /** Says it once, and returns when to say it again; `vital` where all depend on this entry. */
    say(vital: boolean): Milliseconds {
        const { clock, sender, registry, inProgress } = this.parts;
        const { everyone, self } = this.parts.placers();
        const usual = everyone || self ? signInterval : rareSignInterval;
        const interval = vital ? vitalSignInterval : usual;
        if (this.signs < firstSigns) {
            this.signs++;
            sender.tellEach(this.alive(interval, inProgress()));
            return interval;
        }
        sender.tellNear(this.alive(interval, everyone ? inProgress() : undefined), 0);
        if (!everyone) {
            sender.tellSome(this.dependents(), [this.alive(interval, inProgress())]);
        }
        const farInterval = Math.max(farSignAtLeast, farSignPerEntry * (registry.living().length + 1));
        if (vital || clock.now() - this.farSignAt >= farInterval - interval / 2) {
            this.farSignAt = clock.now();
            sender.tellFar(this.alive(vital ? interval : farInterval, undefined), 0);
        }
        return interval;
    }

    /** A sign as an answer to one that asks. */
    alive(nextIn = signInterval, inProgress: string[] | undefined = this.parts.inProgress()): PeerUpdate {
        return { type: "Alive", inProgress, status: this.parts.status(nextIn) };
    }

    /**
     * The placers of an entry's data centre hear which of its requests are in progress, and tell the other placers which of
     * its works are over. A placer is heard by all that it chooses for, and by the other placers.
     */
    private dependents(): string[] {
        const { dataCentre, registry } = this.parts;
        const { self, others } = this.parts.placers();
        if (!self) {
            return others.filter(placer => placer.dataCentre === dataCentre).map(({ address }) => address);
        }
        const near = registry.living().filter(peer => peer.dataCentre === dataCentre);
        return [...new Set([...near.map(({ identity }) => identity.address), ...others.map(({ address }) => address)])];
    }
}
