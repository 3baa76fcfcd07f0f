/** Collects the answers to one question until they are read. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PlacementAnswer } from "../placement/placementQuestion.js";

/** The answers to one question, in the order in which they arrived. */
export class AnswerMailbox {
    private readonly answers: PlacementAnswer[] = [];
    private notify: () => void = () => {};

    constructor(private readonly clock: Clock, private readonly signal: AbortSignal) {}

    put(answer: PlacementAnswer): void {
        this.answers.push(answer);
        this.notify();
    }

    /** Resolves with the next answer; with undefined after `timeout`, or as soon as the signal aborts. */
    async next(timeout: Milliseconds): Promise<PlacementAnswer | undefined> {
        if (this.answers.length === 0 && !this.signal.aborted) {
            await new Promise<void>(resolve => {
                const finish = () => {
                    stopTimer();
                    this.signal.removeEventListener("abort", finish);
                    resolve();
                };
                const stopTimer = this.clock.after(timeout, finish);
                this.signal.addEventListener("abort", finish, { once: true });
                this.notify = finish;
            });
            this.notify = () => {};
        }
        return this.answers.shift();
    }
}
