/**
 * Lends this entry's unused shares of endpoints' limits to entries that need more.
 *
 * Load pattern: a load balancer hands most new connections to one entry. Its shares of the limits are soon used up, and callers
 * are rejected while the shares of all others lie idle.
 *
 * The sum over all entries holds without agreement. A lender gives up what it lends before it tells the borrower, and until
 * the requests that the borrower sent have left the counting window. The borrower counts the loan from when it asked, so that
 * a loan that arrives late, or at an entry that was paused, ends in time. A lost message leaves a share unused. What a borrower
 * no longer needs it gives back, as its requests leave the window.
 */
import type { LentAllowance, PeerIdentity } from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { hash32 } from "../../utils/hash.js";

/** How long a loan may be used, counted from when the borrower asked. */
const loanDuration: Milliseconds = 3_000;
/** How often an entry asks while it needs more; a loan is renewed before it ends. */
const askInterval: Milliseconds = 1_000;
/** Share of its unused allowance that an entry lends. */
const lentRatio = 0.75;
/** An entry that needed more itself this recently lends nothing. */
const ownNeedDuration: Milliseconds = 1_000;
/** How often a borrower gives back what it doesn't need, and how recent its need must be to keep it. */
const returnInterval: Milliseconds = 250;
const needDuration: Milliseconds = 500;
/** Reserve for clocks that run at slightly different speeds. */
const clockReserve: Milliseconds = 200;
/** Most entries that are asked at the same time, and most endpoints in one loan, some 5 kB. */
const maximumAskedCount = 64;
const maximumEndpointCount = 128;

/** Requests per counting window that one entry has lent to another, by endpoint. */
interface Loan {
    countByEndpoint: ReadonlyMap<string, number>;
    endsAt: Milliseconds;
    /** The borrower's question that the loan answers. */
    serial: number;
}

interface ReceivedLoan extends Loan {
    lender: PeerIdentity;
}

/** Dependencies of {@link AllowanceLoans}. */
export interface AllowanceLoansDependencies {
    clock: Clock;
    /** Id of this entry. */
    self: string;
    /** The window over which requests to an endpoint are counted. */
    countingWindow: Milliseconds;
    /** Requests of this entry's own allowance that it has not used, by endpoint. */
    unusedAllowances: () => LentAllowance[];
    livingPeers: () => readonly PeerIdentity[];
    /** Requests in the counting window that this entry has sent beyond its own allowance. */
    borrowedUse: (endpoint: string) => number;
    ask: (address: string, serial: number) => void;
    giveBack: (address: string, serial: number, kept: LentAllowance[]) => void;
    lend: (address: string, serial: number, allowances: LentAllowance[]) => void;
}

/** The loans that this entry has given and received. */
export class AllowanceLoans {
    private readonly givenByBorrower = new Map<string, Loan>();
    private readonly receivedByLender = new Map<string, ReceivedLoan>();
    private isReturnDue = false;
    private readonly askedAtBySerial = new Map<number, Milliseconds>();
    private lastSerial = 0;
    private lastAskedAt: Milliseconds = -Infinity;
    private neededAt: Milliseconds = -Infinity;
    private firstAsked = 0;

    constructor(private readonly dependencies: AllowanceLoansDependencies) {}

    /** Whether this entry has loans from others. */
    get isBorrowing(): boolean {
        return this.receivedByLender.size > 0;
    }

    /** Requests that this entry has lent, and that its own allowance lacks. */
    lent(endpoint: string): number {
        return this.sum(this.givenByBorrower, endpoint);
    }

    /** Requests that this entry has borrowed. */
    borrowed(endpoint: string): number {
        return this.sum(this.receivedByLender, endpoint);
    }

    /** Records that this entry's shares don't suffice, and asks others for a loan. */
    recordNeed(): void {
        const { clock, livingPeers, ask } = this.dependencies;
        const now = clock.now();
        this.neededAt = now;
        if (now - this.lastAskedAt < askInterval) {
            return;
        }
        this.lastAskedAt = now;
        this.lastSerial++;
        this.askedAtBySerial.set(this.lastSerial, now);
        this.askedAtBySerial.delete(this.lastSerial - Math.ceil(loanDuration / askInterval));
        const peers = livingPeers();
        const askedCount = Math.min(peers.length, maximumAskedCount);
        for (let index = 0; index < askedCount; index++) {
            ask(peers[(this.firstAsked + index) % peers.length]!.address, this.lastSerial);
        }
        this.firstAsked = peers.length === 0 ? 0 : (this.firstAsked + askedCount) % peers.length;
    }

    /** Answers another entry that needs more. A loan that it has already is prolonged, and grows by what is unused now. */
    answer(borrower: PeerIdentity, serial: number): void {
        const { clock, countingWindow, lend } = this.dependencies;
        const now = clock.now();
        if (now - this.neededAt < ownNeedDuration) {
            return;
        }
        const earlier = this.givenByBorrower.get(borrower.id);
        const countByEndpoint = new Map(earlier && now < earlier.endsAt ? earlier.countByEndpoint : []);
        for (const { endpoint, count } of this.dependencies.unusedAllowances().slice(0, maximumEndpointCount)) {
            const lentCount = this.roundLent(endpoint, count);
            if (lentCount > 0) {
                countByEndpoint.set(endpoint, (countByEndpoint.get(endpoint) ?? 0) + lentCount);
            }
        }
        if (countByEndpoint.size === 0) {
            return;
        }
        const endsAt = now + loanDuration + countingWindow + clockReserve;
        this.givenByBorrower.set(borrower.id, { countByEndpoint, endsAt, serial });
        lend(borrower.address, serial, [...countByEndpoint].map(([endpoint, count]) => ({ endpoint, count })));
    }

    /** Receives a loan; it replaces an earlier one of the same lender. */
    receive(lender: PeerIdentity, serial: number, allowances: readonly LentAllowance[]): void {
        const askedAt = this.askedAtBySerial.get(serial);
        if (askedAt === undefined || serial <= (this.receivedByLender.get(lender.id)?.serial ?? 0)) {
            return;
        }
        const countByEndpoint = toCounts(allowances);
        this.receivedByLender.set(lender.id, { countByEndpoint, endsAt: askedAt + loanDuration, serial, lender });
        this.returnLater();
    }

    /** Receives what `borrower` keeps of a loan. Ignored if the loan has been prolonged meanwhile. */
    receiveReturn(borrower: string, serial: number, kept: readonly LentAllowance[]): void {
        const loan = this.givenByBorrower.get(borrower);
        if (loan?.serial === serial) {
            this.givenByBorrower.set(borrower, { ...loan, countByEndpoint: toCounts(kept) });
        }
    }

    private returnLater(): void {
        if (this.isReturnDue) {
            return;
        }
        this.isReturnDue = true;
        this.dependencies.clock.after(returnInterval, () => {
            this.isReturnDue = false;
            this.returnUnneeded();
            if (this.receivedByLender.size > 0) {
                this.returnLater();
            }
        });
    }

    /** Gives back what is not needed to cover requests that still count. */
    private returnUnneeded(): void {
        const { clock, borrowedUse, giveBack } = this.dependencies;
        const now = clock.now();
        for (const [id, loan] of this.receivedByLender) {
            if (now >= loan.endsAt) {
                this.receivedByLender.delete(id);
            }
        }
        if (now - this.neededAt < needDuration) {
            return;
        }
        for (const [id, loan] of this.receivedByLender) {
            const kept = [...loan.countByEndpoint].map(([endpoint, count]) => ({
                endpoint,
                count: Math.min(count, Math.ceil(borrowedUse(endpoint) * count / this.borrowed(endpoint))),
            })).filter(({ count }) => count > 0);
            this.receivedByLender.set(id, { ...loan, countByEndpoint: toCounts(kept) });
            giveBack(loan.lender.address, loan.serial, kept);
        }
    }

    /**
     * Rounds to whole requests. Which way depends on the endpoint, so that entries whose shares are one request each lend those
     * of most endpoints and keep some.
     */
    private roundLent(endpoint: string, unused: number): number {
        const steps = 100;
        const threshold = hash32(`${endpoint}/${this.dependencies.self}`) % steps / steps;
        return Math.floor(lentRatio * unused + threshold);
    }

    private sum(loans: Map<string, Loan>, endpoint: string): number {
        const now = this.dependencies.clock.now();
        let total = 0;
        for (const [entry, { endsAt, countByEndpoint }] of loans) {
            if (now >= endsAt) {
                loans.delete(entry);
                continue;
            }
            total += countByEndpoint.get(endpoint) ?? 0;
        }
        return total;
    }
}

const toCounts = (allowances: readonly LentAllowance[]): Map<string, number> =>
    new Map(allowances.map(({ endpoint, count }) => [endpoint, count]));
