/**
 * Follows one kind of stored objects: a list, then watches, and what other entries know where that is quicker.
 *
 * Every call to the store has its price and its share of the store's rate, and a change answers every watch that waits.
 * So only a few entries watch a kind, the same few in the eyes of all; the others hear from any entry what the newest
 * change is, and ask an entry that has it. The same way helps an entry that the store turns away while it serves others,
 * and one whose connection to the store fell silent. What comes from an entry is what the store said at a revision, so
 * it joins with what the store says: the higher revision holds, whoever brings it.
 */
import {
    HistoryLostError,
    type StateChanges,
    StateError,
    type StateKind,
    type StatePort,
    type StateSnapshot,
    type StateValues,
} from "../../ports/statePort.js";
import { sharedAbort } from "../../utils/bounds.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import type { PartLog } from "../../utils/log.js";
import type { Random } from "../../utils/random.js";
import type { ChangeSignal } from "../../utils/signal.js";
import { StateMirror, type StateNews } from "./stateMirror.js";

/**
 * Over all entries together one watch of each kind comes back about this often, also without a change: from it the
 * others hear of a change that a silent connection kept from them. Each waits longer the more entries there are.
 */
const watchInterval: Milliseconds = 700;
/** Shortest wait of a watch, for an entry that is alone: two thirds of the time after which it is held to a change. */
const watchAtLeast: Milliseconds = 2_000;
/** The longest wait that the store keeps. */
const watchAtMost: Milliseconds = 25_000;
/**
 * Pause before the next watch after a change. Endpoints that start or leave together come in dozens; without a pause each
 * costs every watching entry a call. It is added to the time after which a change is known, a tenth of what is allowed.
 */
const gatherTime: Milliseconds = 100;
/** An entry is taken to be deaf when others have known a change for this long: ten times the way from the store. */
const deafAfter: Milliseconds = 250;
/** A list read in full now and then puts right what no watch told; for a lone entry, and more for each further one. */
const listInterval: Milliseconds = 30_000;
const listIntervalPerEntry: Milliseconds = 1_000;
/** First pause after a failed call. Short, as the bounds of changes run on while the store turns us away. */
const retryPauseAtLeast: Milliseconds = 50;
/** Longest pause between failed calls: recovery from an outage takes at most this much longer. */
const retryPauseAtMost: Milliseconds = 400;

/** Takes what is learned of stored objects. */
export interface StateSink<Value> {
    /** All objects as of now. `wasAway` says that the store couldn't be reached just before. */
    replace(snapshot: StateSnapshot<Value>, wasAway: boolean): void;
    apply(changes: StateChanges<Value>, wasAway: boolean): void;
}

/** The other entries, as far as stored objects go. */
export interface StatePeers {
    /** Entries heard of late, this one included. */
    readonly living: number;
    /** Notified when an entry says that it knows something newer, and on a timer. */
    readonly changed: ChangeSignal;
    /** Lets the other entries know that the store told of a change. */
    tell(): void;
    /** Whether this entry is one of those that watch `kind`. */
    watches(kind: StateKind): boolean;
    /** Whether an entry knows a change of `kind` after `revision`. */
    ahead(kind: StateKind, revision: number): boolean;
    /** Asks such an entry; undefined when none answers with news. */
    learn<Kind extends StateKind>(kind: Kind, revision: number): Promise<StateNews<StateValues[Kind]> | undefined>;
}

/** What following needs of the world. */
export interface FollowParts {
    store: StatePort;
    peers: StatePeers;
    clock: Clock;
    random: Random;
    log: PartLog;
}

/** Follows one kind. */
export class StateFollower<Kind extends StateKind> {
    readonly mirror = new StateMirror<StateValues[Kind]>();
    private failures = 0;
    private listedAt: Milliseconds = 0;
    private readAt: Milliseconds = 0;
    /** Since when another entry has known a change that this one hasn't. */
    private behindSince: Milliseconds | undefined;

    constructor(
        private readonly parts: FollowParts,
        private readonly kind: Kind,
        private readonly sink: StateSink<StateValues[Kind]>,
    ) {}

    /** Follows until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            try {
                await this.step(signal);
            }
            catch (error) {
                if (!signal.aborted) {
                    await this.recover(error, signal);
                }
            }
        }
    }

    private async step(signal: AbortSignal): Promise<void> {
        const { clock, peers } = this.parts;
        const { revision } = this.mirror;
        const now = clock.now();
        if (revision === undefined || now - this.listedAt > listInterval + peers.living * listIntervalPerEntry) {
            await this.list(signal);
        }
        else if (peers.watches(this.kind) || now - this.readAt >= this.watchTime()) {
            await this.watch(revision, signal);
        }
        else {
            await this.listen(signal);
        }
    }

    /** How long a watch waits, and how long an entry that doesn't watch goes without a look of its own. */
    private watchTime(): Milliseconds {
        return Math.min(watchAtMost, Math.max(watchAtLeast, watchInterval * this.parts.peers.living));
    }

    private async list(signal: AbortSignal): Promise<void> {
        const snapshot = await this.parts.store.list(this.kind, signal);
        const { clock } = this.parts;
        this.listedAt = clock.now();
        if (snapshot.revision >= (this.mirror.revision ?? 0)) {
            this.take({ type: "Snapshot", ...snapshot, wasAway: this.failures > 0 });
        }
        this.read();
    }

    private async watch(revision: number, signal: AbortSignal): Promise<void> {
        const { clock, store, peers } = this.parts;
        const cut = sharedAbort();
        const end = () => cut.abort();
        signal.addEventListener("abort", end, { once: true });
        const wait = peers.watches(this.kind) ? this.watchTime() : 0;
        const watching = store.watch(this.kind, revision, wait, cut.signal);
        const deaf = this.untilDeaf(cut.signal, wait);
        try {
            const changes = await Promise.race([watching, deaf]);
            if (changes === undefined) {
                await this.learn();
                return;
            }
            this.take({ type: "Changes", ...changes, wasAway: this.failures > 0 });
            this.read();
            if (changes.changes.length > 0) {
                peers.tell();
                await clock.sleep(gatherTime, signal);
            }
        }
        finally {
            signal.removeEventListener("abort", end);
            cut.abort();
        }
    }

    /** Waits until another entry has something newer, or until it is time for a look of one's own. */
    private async listen(signal: AbortSignal): Promise<void> {
        await this.parts.peers.changed.next(signal);
        if (!signal.aborted && this.behind() !== undefined) {
            await this.learn();
        }
    }

    /** Resolves when others have known a change for a while, or when there are too few others to go on waiting. */
    private async untilDeaf(signal: AbortSignal, wait: Milliseconds): Promise<undefined> {
        const { clock, peers } = this.parts;
        const begun = clock.now();
        while (!signal.aborted) {
            await peers.changed.next(signal);
            const behind = this.behind();
            const waitedTooLong = wait > this.watchTime() && clock.now() - begun > this.watchTime();
            if (waitedTooLong || (behind !== undefined && clock.now() - behind >= deafAfter)) {
                return undefined;
            }
        }
        return await new Promise<undefined>(() => {});
    }

    /** Since when another entry has been ahead; undefined when none is. */
    private behind(): Milliseconds | undefined {
        const { peers, clock } = this.parts;
        const ahead = peers.ahead(this.kind, this.mirror.revision ?? 0);
        this.behindSince = ahead ? this.behindSince ?? clock.now() : undefined;
        return this.behindSince;
    }

    /** Asks another entry. What it doesn't know is read from the store by the next step. */
    private async learn(): Promise<boolean> {
        const news = await this.parts.peers.learn(this.kind, this.mirror.revision ?? 0);
        const newer = news !== undefined && news.revision > (this.mirror.revision ?? 0);
        if (newer) {
            this.take({ ...news, wasAway: news.wasAway || this.failures > 0 });
            this.behindSince = undefined;
        }
        else {
            this.readAt = -Infinity;
        }
        return newer;
    }

    private take(news: StateNews<StateValues[Kind]>): void {
        if (news.type === "Snapshot") {
            this.mirror.replace(news, news.wasAway);
            this.sink.replace(news, news.wasAway);
            return;
        }
        this.mirror.apply(news, news.wasAway);
        this.sink.apply(news, news.wasAway);
    }

    private read(): void {
        const { clock, log } = this.parts;
        this.readAt = clock.now();
        if (this.failures > 0) {
            const { revision } = this.mirror;
            log.info("The store answers again.", { kind: this.kind, failures: this.failures, revision });
        }
        this.failures = 0;
    }

    private async recover(error: unknown, signal: AbortSignal): Promise<void> {
        const { clock, log, random } = this.parts;
        const { kind } = this;
        if (error instanceof HistoryLostError) {
            log.info("The store's history is gone; listing.", { kind, revision: this.mirror.revision });
            this.listedAt = -Infinity;
            return;
        }
        if (!(error instanceof StateError)) {
            log.error("What the store said can't be used.", { kind, error: describeError(error) });
        }
        this.failures++;
        if (this.failures === 1) {
            log.warn("The store doesn't answer.", {
                kind,
                revision: this.mirror.revision,
                error: describeError(error),
            });
        }
        if (this.behind() !== undefined && await this.learn()) {
            log.info("Another entry told what is new.", { kind, revision: this.mirror.revision });
        }
        await clock.sleep(retryPause(this.failures, random), signal);
    }
}

const retryPause = (failures: number, random: Random): Milliseconds => {
    const longest = Math.min(retryPauseAtMost, retryPauseAtLeast * 2 ** Math.min(failures, 8));
    return longest / 2 + random.next() * longest / 2;
};
