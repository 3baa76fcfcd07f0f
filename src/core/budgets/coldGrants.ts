/**
 * Lends entries' parts of cold endpoints' allowances to the placers that grant requests from them.
 *
 * Load pattern: with 145 entries a part is one request at a few cold endpoints, and most entries send nothing while one
 * gets most of the connections. A placer that runs short asks other entries for their unused parts, and grants requests
 * of the entries that ask it from what it has.
 *
 * The sum over all entries holds without agreement on who is a placer. An entry lends a part to one placer at a time, gives
 * it up before the placer learns of it, and takes it back only when the requests that were granted from it have left the
 * counting window. A placer counts a loan from when it asked, so an answer that arrives late, or at a placer that was
 * paused, is void. A lost message leaves a part unused.
 */
import type { LentAllowance, PeerAddress } from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import { type Random, shuffle } from "../../utils/random.js";

/** How long a grant may be used, counted from when the entry asked. Longer than an entry waits for a placer's answer. */
export const grantDuration: Milliseconds = 50;
/**
 * How long a granted request counts at the placer. A request that an entry sends itself counts for 100 ms more than the
 * second that the limit covers, as network delays shift the arrivals; the grant may be used later than it was given.
 */
export const grantedCountingWindow: Milliseconds = 1_100 + grantDuration;
/** How long a loan may be used, counted from when the placer asked. */
const loanDuration: Milliseconds = 1_500;
/** How often a placer asks while it needs parts. Loans outlast two lost messages. */
const askInterval: Milliseconds = 500;
/** Reserve for clocks that run at slightly different speeds. */
const clockReserve: Milliseconds = 100;
/** How long a part that was lent isn't used by its owner, counted from the answer. */
const returnDelay: Milliseconds = loanDuration + grantedCountingWindow + clockReserve;
/** A part that an earlier process of this entry has lent is back after this time, and other entries know of this one. */
export const settlingDuration: Milliseconds = 3_000;
/** Entries that a placer without loans asks first. Twice as many are asked in each interval in which it stays short. */
const firstAskedCount = 16;
/** Share of its lenders that a placer which isn't short asks again, so that unneeded parts return. */
const keptLenderRatio = 0.75;
/** Most endpoints in one loan, some 5 kB. */
const maximumEndpointCount = 128;

interface Loan {
    countByEndpoint: ReadonlyMap<string, number>;
    endsAt: Milliseconds;
    /** The placer's question that the loan answers. */
    serial: number;
}

/** Dependencies of {@link ColdGrants}. */
export interface ColdGrantsDependencies {
    clock: Clock;
    random: Random;
    log: PartLog;
    /** Whether the part is on at this entry. */
    isOn: () => boolean;
    /** Whether the whole site starts for the first time, so that no earlier process has lent anything. */
    isFirstStart: boolean;
    isPlacer: () => boolean;
    /** Whether a placer answers this entry, so that it doesn't need its own parts. */
    reachesPlacers: () => boolean;
    /** Cold endpoints with the requests that this entry may still send or grant there. */
    lendableParts: (borrower: string) => LentAllowance[];
    /** Living entries that answer {@link ColdGrantsDependencies.ask}. */
    lenders: () => readonly PeerAddress[];
    ask: (address: string, serial: number) => void;
    lend: (address: string, serial: number, parts: LentAllowance[]) => void;
}

/** The parts that this entry has lent and borrowed. */
export class ColdGrants {
    /** Loans given, by borrower. The later one doesn't end the earlier ones, as the answer with it may be lost. */
    private readonly givenByBorrower = new Map<string, Loan[]>();
    private readonly receivedByLender = new Map<string, Loan>();
    private readonly askedAtBySerial = new Map<number, Milliseconds>();
    private readonly startedAt: Milliseconds;
    private lastSerial = 0;
    private lastAskedAt: Milliseconds = -Infinity;
    private shortAt: Milliseconds = -Infinity;

    constructor(private readonly dependencies: ColdGrantsDependencies) {
        this.startedAt = dependencies.clock.now();
    }

    /** Whether this entry has run for long enough that no loan of an earlier process of it is in use. */
    get isSettled(): boolean {
        const { clock, isFirstStart } = this.dependencies;
        return isFirstStart || clock.now() - this.startedAt >= settlingDuration;
    }

    /** Whether this entry may grant requests to other entries. */
    get mayGrant(): boolean {
        const { isOn, isPlacer } = this.dependencies;
        return isOn() && isPlacer() && this.isSettled;
    }

    /** Requests per counting window at `endpoint` that this entry has lent, without those lent to `borrower`. */
    lent(endpoint: string, exceptTo?: string): number {
        const now = this.dependencies.clock.now();
        let total = 0;
        for (const [borrower, loans] of this.givenByBorrower) {
            const current = loans.filter(({ endsAt }) => now < endsAt);
            if (current.length === 0) {
                this.givenByBorrower.delete(borrower);
                continue;
            }
            if (borrower !== exceptTo) {
                total += Math.max(...current.map(({ countByEndpoint }) => countByEndpoint.get(endpoint) ?? 0));
            }
        }
        return total;
    }

    /** Requests per counting window at `endpoint` that this entry has borrowed. */
    borrowed(endpoint: string): number {
        if (!this.mayGrant) {
            return 0;
        }
        const now = this.dependencies.clock.now();
        let total = 0;
        for (const [lender, { countByEndpoint, endsAt }] of this.receivedByLender) {
            if (now >= endsAt) {
                this.receivedByLender.delete(lender);
                continue;
            }
            total += countByEndpoint.get(endpoint) ?? 0;
        }
        return total;
    }

    /** Records that a request was placed while endpoints were cold; `isShort`: most of them could take no further one. */
    recordDemand(isShort: boolean): void {
        if (!this.mayGrant) {
            return;
        }
        const now = this.dependencies.clock.now();
        this.shortAt = isShort ? now : this.shortAt;
        if (now - this.lastAskedAt >= askInterval) {
            this.askLenders(now - this.shortAt < askInterval);
            this.lastAskedAt = now;
        }
    }

    /** Answers a placer that needs parts. */
    answer(borrower: PeerAddress, serial: number): void {
        const { clock, isOn, isPlacer, reachesPlacers, lendableParts, lend } = this.dependencies;
        const now = clock.now();
        const needsOwnParts = isPlacer() ? now - this.shortAt < askInterval : !reachesPlacers();
        if (!isOn() || !this.isSettled || needsOwnParts) {
            return;
        }
        const parts = lendableParts(borrower.id).filter(({ count }) => count > 0).slice(0, maximumEndpointCount);
        if (parts.length === 0) {
            return;
        }
        const current = (this.givenByBorrower.get(borrower.id) ?? []).filter(({ endsAt }) => now < endsAt);
        const loan = { countByEndpoint: toCounts(parts), endsAt: now + returnDelay, serial };
        this.givenByBorrower.set(borrower.id, [...current, loan]);
        lend(borrower.address, serial, parts);
    }

    /** Receives a loan; it replaces an earlier one of the same lender. */
    receive(lender: string, serial: number, parts: readonly LentAllowance[]): void {
        const askedAt = this.askedAtBySerial.get(serial);
        if (askedAt === undefined || serial <= (this.receivedByLender.get(lender)?.serial ?? 0)) {
            return;
        }
        this.receivedByLender.set(lender, {
            countByEndpoint: toCounts(parts),
            endsAt: askedAt + loanDuration,
            serial,
        });
    }

    private askLenders(isShort: boolean): void {
        const { clock, random, log, lenders, ask } = this.dependencies;
        const now = clock.now();
        const shuffled = shuffle(lenders(), random);
        const isHeld = ({ id }: PeerAddress) => now < (this.receivedByLender.get(id)?.endsAt ?? 0);
        const held = shuffled.filter(isHeld);
        const others = shuffled.filter(lender => !isHeld(lender));
        const asked = isShort
            ? [...held, ...others.slice(0, Math.max(firstAskedCount, held.length))]
            : held.slice(0, Math.floor(keptLenderRatio * held.length));
        if (asked.length === 0) {
            return;
        }
        this.lastSerial++;
        this.askedAtBySerial.set(this.lastSerial, now);
        this.askedAtBySerial.delete(this.lastSerial - Math.ceil(loanDuration / askInterval));
        log.info("Entries are asked for their parts of cold endpoints.", {
            isShort,
            shortAgo: Math.round(now - this.shortAt),
            lenders: held.length,
            asked: asked.length,
        });
        for (const { address } of asked) {
            ask(address, this.lastSerial);
        }
    }
}

const toCounts = (parts: readonly LentAllowance[]): Map<string, number> =>
    new Map(parts.map(({ endpoint, count }) => [endpoint, count]));
