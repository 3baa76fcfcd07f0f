/**
 * Memory set aside on several endpoints for one prompt that is larger than the memory of one.
 *
 * Two entries that each hold half of what they need would wait for one another for good. All is gathered at once without
 * waiting, and given back when any part is missing; whoever failed tries again after a random pause. An entry that dies
 * leaves nothing behind: each hold is short and renewed only while its request runs, so the endpoint frees it by itself.
 */
import type { MemoryPort, MemoryReservation } from "../../ports/memoryPort.js";
import { ReservationResult } from "../../ports/memoryPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import { abortQuietly } from "../../utils/signal.js";

/**
 * How long an endpoint keeps memory that isn't renewed. Endpoints may carry out an unanswered order seconds later, after
 * the memory was given back; what comes back this way is gone again within this time.
 */
const holdTime: Milliseconds = 1_900;
/** Two renewals in a row may be lost. */
const renewInterval: Milliseconds = 600;
/** An endpoint answers within a few milliseconds; one that doesn't is not worth a longer wait. */
const answerAtMost: Milliseconds = 400;
/** Memory is given back in so many tries; after that it lapses. */
const releaseTries = 3;

/** What holding memory needs. */
export interface MemoryHoldParts {
    clock: Clock;
    log: PartLog;
    memory: MemoryPort;
}

/** The memory of one send. */
export class MemoryHold {
    private readonly ending = new AbortController();

    private constructor(
        private readonly parts: MemoryHoldParts,
        private readonly shares: readonly MemoryReservation[],
        private readonly requestId: string,
    ) {}

    /** Sets all of `shares` aside. When any of them can't be had, nothing is held, and the endpoints at fault are told. */
    static async gather(
        parts: MemoryHoldParts,
        shares: readonly MemoryReservation[],
        requestId: string,
    ): Promise<{ hold: MemoryHold; } | { lacking: string[]; }> {
        const hold = new MemoryHold(parts, shares, requestId);
        const answers = await Promise.all(shares.map(share => hold.reserve(share)));
        if (answers.every(answer => answer === ReservationResult.Held)) {
            void hold.renew();
            return { hold };
        }
        parts.log.info("Memory can't be set aside.", {
            requestId,
            shares: shares.map(({ endpoint, tokens }, index) => ({
                endpoint: endpoint.id,
                tokens,
                answer: answers[index],
            })),
        });
        // An order without an answer may have been carried out.
        hold.release(share => answers[shares.indexOf(share)] !== ReservationResult.Refused);
        const held = (index: number) => answers[index] === ReservationResult.Held;
        return { lacking: shares.flatMap(({ endpoint }, index) => held(index) ? [] : [endpoint.id]) };
    }

    /** Gives the memory back. */
    release(held: (share: MemoryReservation) => boolean = () => true): void {
        abortQuietly(this.ending);
        for (const share of this.shares.filter(held)) {
            void this.giveBack(share);
        }
    }

    private reserve(share: MemoryReservation): Promise<ReservationResult> {
        return this.parts.memory.reserve(share, holdTime, answerAtMost);
    }

    private async renew(): Promise<void> {
        const { signal } = this.ending;
        for (;;) {
            await this.parts.clock.sleep(renewInterval, signal);
            if (signal.aborted) {
                return;
            }
            for (const share of this.shares) {
                void this.renewOne(share);
            }
        }
    }

    private async renewOne(share: MemoryReservation): Promise<void> {
        const answer = await this.reserve(share);
        if (this.ending.signal.aborted) {
            // The renewal may have arrived behind the release.
            await this.giveBack(share);
            return;
        }
        if (answer !== ReservationResult.Held) {
            const { requestId } = this;
            this.parts.log.info("Memory can't be renewed.", { requestId, endpoint: share.endpoint.id, answer });
        }
    }

    private async giveBack(share: MemoryReservation): Promise<void> {
        for (let tries = 0; tries < releaseTries; tries++) {
            if (await this.parts.memory.release(share, answerAtMost)) {
                return;
            }
        }
        this.parts.log.warn("Memory can't be given back; it lapses.", {
            requestId: this.requestId,
            endpoint: share.endpoint.id,
            lapsesIn: holdTime,
        });
    }
}
