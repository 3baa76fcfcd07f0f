/**
 * Follows one kind of stored objects: a list, then watches, and what other entries know where that is quicker.
 *
 * Every call to the store has its price and its share of the store's rate, and a change answers every watch that waits.
 * So only a few entries watch a kind, the same few in the eyes of all; the others hear from any entry what the newest
 * change is, and ask an entry that has it. The same way helps an entry that the store turns away while it serves others,
 * and one whose connection to the store fell silent. What comes from an entry is what the store said at a revision, so
 * it joins with what the store says: the higher revision holds, whoever brings it.
 */
import type { StateDelta } from "../../ports/peerChannelPort.js";
import {
    HistoryLostError,
    type StateChanges,
    StateError,
    type StateKind,
    type StatePort,
    type StateSink,
    type StateValues,
} from "../../ports/statePort.js";
import { sharedAbortController } from "../../utils/bounds.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import type { PartLog } from "../../utils/log.js";
import type { Random } from "../../utils/random.js";
import { abortQuietly, type ChangeSignal } from "../../utils/signal.js";
import { askAfter, retryPause, watchWait } from "./readTurns.js";
import { StateMirror, type StateUpdate } from "./stateMirror.js";

/**
 * Pause before the next watch after a change, doubled for each further one in a row. Endpoints that start or leave together
 * come in dozens; without a pause each costs every watching entry a call. The longest pause is a quarter of the time after
 * which a change must be known.
 */
const gatherAtLeast: Milliseconds = 100;
const gatherAtMost: Milliseconds = 500;
/** Changes with less than this between them come in a row. */
const rowGap: Milliseconds = 300;
/** A call is taken to be deaf when others have known a change for this long: ten times the way from the store. */
const deafAfter: Milliseconds = 250;
/** A list read in full now and then puts right what no watch told; for a lone entry, and more for each further one. */
const listInterval: Milliseconds = 30_000;
const listIntervalPerEntry: Milliseconds = 1_000;
/** Pause before another entry is asked again for a first answer. */
const learnAgainPause: Milliseconds = 50;

/** The other entries, as far as stored objects go. */
export interface StatePeers {
    /** Entries heard of late, this one included. */
    readonly living: number;
    /** Notified when an entry says that it knows something newer, and on a timer. */
    readonly changed: ChangeSignal;
    /** Lets the other entries know that the store has answered, and what has changed. */
    tellRead(change: StateDelta | undefined): void;
    /** Whether this entry is one of those that watch the store for all. */
    readonly watching: boolean;
    /** How many others go before this entry where one is to ask the store for all. */
    readonly turn: number;
    /** How many other entries get no answer from the store. */
    readonly unread: number;
    /** When the store last answered another entry that knew of no change of `kind` after `revision`. */
    readAt(kind: StateKind, revision: number | undefined): Milliseconds;
    /** Whether an entry knows a change of `kind` after `revision`, or anything where nothing is known here. */
    ahead(kind: StateKind, revision: number | undefined): boolean;
    /** Asks such an entry; undefined when none answers with news. */
    learn<Kind extends StateKind>(
        kind: Kind,
        revision: number | undefined,
    ): Promise<StateUpdate<StateValues[Kind]> | undefined>;
}

/** What following needs of the world. */
export interface FollowParts {
    store: StatePort;
    peers: StatePeers;
    clock: Clock;
    random: Random;
    log: PartLog;
    /** How long a starting entry waits for another one that knows before it asks the store. */
    patience: Milliseconds;
}

type News<Kind extends StateKind> = StateUpdate<StateValues[Kind]>;

/** Why a call is left before its answer. */
enum Left {
    /** Others have known a change for a while. */
    Deaf = "deaf",
    /** The store hasn't answered any entry for too long. */
    Overdue = "overdue",
}

/** Follows one kind. */
export class StateFollower<Kind extends StateKind> {
    readonly mirror = new StateMirror<StateValues[Kind]>();
    private failures = 0;
    private listedAt: Milliseconds = 0;
    /** The store no longer has the changes that are lacking here. */
    private historyLost = false;
    /** Another entry said that it knows more, and then gave no answer. */
    private lookDue = false;
    /** When the call in progress, or the last one, was begun; and when the store last answered one. */
    private askedAt: Milliseconds = 0;
    private answeredAt: Milliseconds | undefined;
    /** Since when another entry has known a change that this one hasn't. */
    private behindSince: Milliseconds | undefined;
    private gatherTime = gatherAtLeast;
    private gatheredAt: Milliseconds = -Infinity;
    private readonly startedAt: Milliseconds;

    constructor(
        private readonly parts: FollowParts,
        private readonly kind: Kind,
        private readonly sink: StateSink<StateValues[Kind]>,
    ) {
        this.startedAt = parts.clock.now();
    }

    /** Whether the store answered the last call. */
    get reads(): boolean {
        return this.failures === 0;
    }

    /** Time since the store last answered this entry; undefined where it never did. */
    get readAge(): Milliseconds | undefined {
        return this.answeredAt === undefined ? undefined : this.parts.clock.now() - this.answeredAt;
    }

    /** Takes changes that another entry tells, if all that came before them is known here. */
    applyDelta({ after, ...change }: StateDelta): void {
        const { revision } = this.mirror;
        if (revision !== undefined && after <= revision && revision < change.revision) {
            this.take({ type: "Changes", ...change, wasAway: change.wasAway || this.failures > 0 } as News<Kind>);
            this.parts.peers.changed.notify();
        }
    }

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
        if (revision === undefined && this.failures === 0 && now - this.startedAt < this.parts.patience) {
            await this.learnFirst(signal);
        }
        else if (revision === undefined || this.historyLost) {
            await this.list(signal);
        }
        else if (this.failures > 0 || this.lookDue || this.overdueIn() <= 0) {
            await this.watch(revision, 0, signal);
        }
        else if (peers.watching && now - this.listedAt > listInterval + peers.living * listIntervalPerEntry) {
            await this.list(signal);
        }
        else if (peers.watching) {
            await this.watch(revision, watchWait(peers.turn), signal);
        }
        else {
            await this.listen(signal);
        }
    }

    /** Time until it is this entry's turn to ask the store, as no entry has heard from it for too long. */
    private overdueIn(): Milliseconds {
        const { clock, peers } = this.parts;
        const readAt = Math.max(this.answeredAt ?? this.startedAt, peers.readAt(this.kind, this.mirror.revision));
        return readAt + askAfter(peers.turn) - clock.now();
    }

    /** Waits for another entry that knows, and asks it. */
    private async learnFirst(signal: AbortSignal): Promise<void> {
        const { clock, peers } = this.parts;
        if (this.behind() === undefined) {
            const left = this.startedAt + this.parts.patience - clock.now();
            await Promise.race([peers.changed.next(signal), clock.sleep(Math.max(0, left), signal)]);
            return;
        }
        if (await this.learn()) {
            this.listedAt = clock.now();
            return;
        }
        await clock.sleep(learnAgainPause, signal);
    }

    private async list(signal: AbortSignal): Promise<void> {
        this.askedAt = this.parts.clock.now();
        const snapshot = await this.parts.store.list(this.kind, signal);
        const { clock } = this.parts;
        this.listedAt = clock.now();
        this.historyLost = false;
        if (snapshot.revision >= (this.mirror.revision ?? 0)) {
            this.take({ type: "Snapshot", ...snapshot, wasAway: this.failures > 0 });
        }
        this.read();
    }

    /** Asks for changes after `revision`, and waits so long for one; leaves the call when others show that it is in vain. */
    private async watch(revision: number, wait: Milliseconds, signal: AbortSignal): Promise<void> {
        const { store, clock } = this.parts;
        const cut = sharedAbortController();
        const end = () => abortQuietly(cut);
        signal.addEventListener("abort", end, { once: true });
        this.askedAt = clock.now();
        const watching = store.watch(this.kind, revision, wait, cut.signal);
        try {
            const answer = await Promise.race([watching, this.untilLeft(wait > 0, cut.signal)]);
            if (answer === Left.Deaf) {
                await this.learn();
            }
            else if (answer !== Left.Overdue) {
                await this.takeAnswer(answer, signal);
            }
        }
        finally {
            signal.removeEventListener("abort", end);
            end();
        }
    }

    private async takeAnswer(answer: StateChanges<StateValues[Kind]>, signal: AbortSignal): Promise<void> {
        const { peers } = this.parts;
        const after = this.mirror.lastChange;
        const wasAway = this.failures > 0;
        if (answer.revision > (this.mirror.revision ?? 0)) {
            this.take({ type: "Changes", ...answer, wasAway });
        }
        this.read();
        if (answer.changes.length === 0) {
            peers.tellRead(undefined);
            return;
        }
        peers.tellRead({ kind: this.kind, after, wasAway, ...answer });
        await this.gather(signal);
    }

    /** Lets further changes come together. */
    private async gather(signal: AbortSignal): Promise<void> {
        const { clock } = this.parts;
        const inRow = clock.now() - this.gatheredAt < rowGap;
        this.gatherTime = inRow ? Math.min(gatherAtMost, 2 * this.gatherTime) : gatherAtLeast;
        await clock.sleep(this.gatherTime, signal);
        this.gatheredAt = clock.now();
    }

    /** Waits until another entry has something newer, or until it is time for a look of one's own. */
    private async listen(signal: AbortSignal): Promise<void> {
        await this.parts.peers.changed.next(signal);
        if (!signal.aborted && this.behind() !== undefined) {
            await this.learn();
        }
    }

    /** Resolves when an open call is to be left; one that doesn't wait for a change isn't left as overdue. */
    private async untilLeft(waits: boolean, signal: AbortSignal): Promise<Left> {
        const { clock, peers } = this.parts;
        while (!signal.aborted) {
            const due = waits ? [clock.sleep(Math.max(0, this.overdueIn()), signal)] : [];
            await Promise.race([peers.changed.next(signal), ...due]);
            const behind = this.behind();
            if (behind !== undefined && clock.now() - behind >= deafAfter) {
                return Left.Deaf;
            }
            if (waits && this.overdueIn() <= 0) {
                return Left.Overdue;
            }
        }
        return await new Promise<never>(() => {});
    }

    /** Since when another entry has been ahead; undefined when none is. */
    private behind(): Milliseconds | undefined {
        const { peers, clock } = this.parts;
        const ahead = peers.ahead(this.kind, this.mirror.revision);
        this.behindSince = ahead ? this.behindSince ?? clock.now() : undefined;
        return this.behindSince;
    }

    /** Asks another entry. What it doesn't know is read from the store by the next step. */
    private async learn(): Promise<boolean> {
        const news = await this.parts.peers.learn(this.kind, this.mirror.revision);
        const newer = news !== undefined && news.revision > (this.mirror.revision ?? -1);
        if (newer) {
            this.take({ ...news, wasAway: news.wasAway || this.failures > 0 });
            this.behindSince = undefined;
        }
        else {
            this.lookDue = true;
        }
        return newer;
    }

    private take(news: News<Kind>): void {
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
        if (this.failures > 0) {
            const { revision } = this.mirror;
            const unreadFor = this.unreadFor();
            log.info("The store answers again.", { kind: this.kind, failures: this.failures, revision, unreadFor });
        }
        this.answeredAt = clock.now();
        this.lookDue = false;
        this.failures = 0;
    }

    private unreadFor(): Milliseconds {
        return Math.round(this.parts.clock.now() - (this.answeredAt ?? this.startedAt));
    }

    private async recover(error: unknown, signal: AbortSignal): Promise<void> {
        const { clock, log } = this.parts;
        const { kind } = this;
        if (error instanceof HistoryLostError) {
            log.info("The store's history is gone; listing.", { kind, revision: this.mirror.revision });
            this.historyLost = true;
            return;
        }
        if (!(error instanceof StateError)) {
            log.error("What the store said can't be used.", { kind, error: describeError(error) });
        }
        this.failures++;
        log.warn("The store doesn't answer.", {
            kind,
            revision: this.mirror.revision,
            failures: this.failures,
            waited: Math.round(clock.now() - this.askedAt),
            unreadFor: this.unreadFor(),
            error: describeError(error),
        });
        await this.untilRetry(signal);
    }

    /** Waits before the next call after a failed one, and learns meanwhile what other entries know. */
    private async untilRetry(signal: AbortSignal): Promise<void> {
        const { clock, log, random, peers } = this.parts;
        const until = clock.now() + retryPause(this.failures, peers.unread, random);
        while (clock.now() < until && !signal.aborted) {
            if (this.behind() !== undefined && await this.learn()) {
                log.info("Another entry told what is new.", { kind: this.kind, revision: this.mirror.revision });
            }
            await Promise.race([peers.changed.next(signal), clock.sleep(Math.max(0, until - clock.now()), signal)]);
        }
    }
}
