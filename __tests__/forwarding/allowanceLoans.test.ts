/** Tests that shares of endpoints' limits that entries lend one another are never used twice. */
import { expect, test } from "vitest";
import { AllowanceLoans } from "../../src/core/budgets/allowanceLoans.js";
import type { LentAllowance, PeerIdentity } from "../../src/ports/peerChannelPort.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import type { Milliseconds } from "../../src/utils/clock.js";

const endpoint = "m-1";
const ownShare = 8;
const countingWindow: Milliseconds = 4_000;
/** How long a borrower may use a loan after it asked. */
const loanDuration: Milliseconds = 3_000;

const identityOf = (id: string): PeerIdentity => ({ id, address: id, incarnation: "1" });

/** A lender and a borrower whose messages arrive only when a test delivers them. */
class Pair {
    readonly clock = new SimulatedClock();
    readonly messages: (() => void)[] = [];
    borrowedUse = 0;
    readonly lender = this.create("lender");
    readonly borrower = this.create("borrower");

    private create(self: string): AllowanceLoans {
        const other = () => self === "lender" ? this.borrower : this.lender;
        const identity = identityOf(self);
        const loans: AllowanceLoans = new AllowanceLoans({
            clock: this.clock,
            self,
            countingWindow,
            unusedAllowances: () => [{ endpoint, count: ownShare - loans.lent(endpoint) }],
            livingPeers: () => [identityOf(self === "lender" ? "borrower" : "lender")],
            borrowedUse: () => this.borrowedUse,
            ask: (...[, serial]) => this.messages.push(() => other().answer(identity, serial)),
            lend: (...[, serial, allowances]: [string, number, LentAllowance[]]) =>
                this.messages.push(() => other().receive(identity, serial, allowances)),
            giveBack: (...[, serial, kept]: [string, number, LentAllowance[]]) =>
                this.messages.push(() => other().receiveReturn(self, serial, kept)),
        });
        return loans;
    }

    deliver(): void {
        this.messages.shift()?.();
    }

    async pass(duration: Milliseconds): Promise<void> {
        await this.clock.run(this.clock.now() + duration);
    }
}

test("loan is given up by its lender before the borrower has it", async () => {
    const { borrower, lender, ...pair } = new Pair();
    await pair.clock.run(10_000);
    borrower.recordNeed();
    pair.messages.shift()!();
    const lent = lender.lent(endpoint);
    expect(lent).toBeGreaterThan(0);
    expect(borrower.borrowed(endpoint)).toBe(0);
    pair.messages.shift()!();
    expect(borrower.borrowed(endpoint)).toBe(lent);
});

test("lost answer leaves the share unused, and it comes back", async () => {
    const pair = new Pair();
    await pair.pass(10_000);
    pair.borrower.recordNeed();
    pair.deliver();
    pair.messages.length = 0;
    await pair.pass(loanDuration + countingWindow);
    expect(pair.lender.lent(endpoint)).toBeGreaterThan(0);
    await pair.pass(1_000);
    expect(pair.lender.lent(endpoint)).toBe(0);
});

test("answer that waited while the borrower was paused is no loan", async () => {
    // Guards against a borrower that uses a share which its lender has taken back.
    const pair = new Pair();
    await pair.pass(10_000);
    pair.borrower.recordNeed();
    pair.deliver();
    await pair.pass(loanDuration + 1);
    pair.deliver();
    expect(pair.borrower.borrowed(endpoint)).toBe(0);
});

test("lender takes a share back only when the borrower's requests no longer count", async () => {
    const pair = new Pair();
    await pair.pass(10_000);
    pair.borrower.recordNeed();
    pair.deliver();
    pair.deliver();
    pair.borrowedUse = ownShare;
    await pair.pass(loanDuration - 10);
    expect(pair.borrower.borrowed(endpoint)).toBeGreaterThan(0);
    await pair.pass(countingWindow);
    expect(pair.borrower.borrowed(endpoint)).toBe(0);
    expect(pair.lender.lent(endpoint)).toBeGreaterThan(0);
});

test("borrower without need gives back what it has not used", async () => {
    const pair = new Pair();
    await pair.pass(10_000);
    pair.borrower.recordNeed();
    pair.deliver();
    pair.deliver();
    pair.borrowedUse = 2;
    await pair.pass(800);
    pair.deliver();
    expect(pair.borrower.borrowed(endpoint)).toBe(2);
    expect(pair.lender.lent(endpoint)).toBe(2);
});

test("entry that needs more itself lends nothing", async () => {
    const pair = new Pair();
    await pair.pass(10_000);
    pair.lender.recordNeed();
    pair.messages.length = 0;
    pair.borrower.recordNeed();
    pair.deliver();
    expect(pair.lender.lent(endpoint)).toBe(0);
    expect(pair.messages).toEqual([]);
});

test("return that a renewal has overtaken is ignored", async () => {
    // Guards against a lender that takes back what the borrower has just been lent again.
    const pair = new Pair();
    await pair.pass(10_000);
    pair.borrower.recordNeed();
    pair.deliver();
    pair.deliver();
    await pair.pass(1_000);
    const returns = pair.messages.splice(0);
    expect(returns.length).toBeGreaterThan(0);
    pair.borrower.recordNeed();
    pair.deliver();
    const lent = pair.lender.lent(endpoint);
    for (const arrive of returns) {
        arrive();
    }
    expect(pair.lender.lent(endpoint)).toBe(lent);
});
