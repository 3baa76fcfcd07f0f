/** Keeps when requests that had been present at crashes last completed, which clears them of the crashes before. */
import type { CompletionReport } from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { crashLifetime } from "./crashLog.js";

/** Most completions in one heartbeat, the newest, some 2 kB. */
const maximumSharedCount = 32;

/** Completions of suspect requests, each on the local clock. */
export class Completions {
    private readonly completedAtByRequest = new Map<string, Milliseconds>();
    /** What this entry observed itself; the others hear only of these. */
    private readonly observedAtByRequest = new Map<string, Milliseconds>();

    constructor(private readonly clock: Clock) {}

    /** When the request last completed; undefined where that is not known. */
    at(request: string): Milliseconds | undefined {
        return this.completedAtByRequest.get(request);
    }

    /** Records a completion that this entry observed. Returns false if it is older than a known one. */
    observe(request: string, at: Milliseconds): boolean {
        const isNew = this.learn(request, at);
        if (isNew) {
            this.observedAtByRequest.set(request, at);
        }
        return isNew;
    }

    /** Records a completion that another entry observed. Returns false if it is older than a known one. */
    learn(request: string, at: Milliseconds): boolean {
        this.removeExpired();
        const known = this.completedAtByRequest.get(request) ?? -Infinity;
        if (at <= known || this.clock.now() - at >= crashLifetime) {
            return false;
        }
        this.completedAtByRequest.delete(request);
        this.completedAtByRequest.set(request, at);
        return true;
    }

    /**
     * Returns the newest completions in the form of a heartbeat. Each report arrives a little late and so seems newer than it
     * is; if entries passed on what they heard, it would seem newer with each round, and clear the request of later crashes.
     */
    reports(): CompletionReport[] {
        this.removeExpired();
        const now = this.clock.now();
        return [...this.observedAtByRequest].slice(-maximumSharedCount)
            .map(([request, at]) => ({ request, age: Math.round(now - at) }));
    }

    private removeExpired(): void {
        const now = this.clock.now();
        for (const atByRequest of [this.completedAtByRequest, this.observedAtByRequest]) {
            for (const [request, at] of atByRequest) {
                if (now - at >= crashLifetime) {
                    atByRequest.delete(request);
                }
            }
        }
    }
}
