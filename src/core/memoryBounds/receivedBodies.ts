/** Keeps the bodies that endpoints are sending without a length, and perhaps without an end, below a bound for all of them. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { DandelionrampError, describeError } from "../../utils/errors.js";
import { type PartLog, silentLog } from "../../utils/log.js";
import { type BodyInProgress, chooseBodyToGiveUp, receivedBoundOf } from "./receivedBound.js";

/** Shortest time between two log lines; a line has the number of bodies since the line before. */
const logInterval: Milliseconds = 1_000;

/** A body was given up because all bodies together exceeded their bound. */
export class ReceivedBoundError extends DandelionrampError {
    constructor(readonly bytes: number, readonly boundBytes: number) {
        super(`the body of ${bytes} bytes was given up, because all bodies together exceed ${boundBytes} bytes`);
    }
}

/** Dependencies of {@link ReceivedBodies}. */
export interface ReceivedBodiesDependencies {
    clock: Clock;
    log?: PartLog;
    /** Called for each body that is given up. */
    onGivenUp?: () => void;
    /** Memory that the process may use; 0 where it is unknown. */
    memoryBytes?: number;
}

/** Called once with the reason why a body must not be read on. */
export type GiveUpListener = (error: DandelionrampError) => void;

/** Account of one body. */
export class ReceivedBody implements BodyInProgress {
    bytes = 0;

    constructor(
        readonly endpoint: string,
        private readonly bodies: ReceivedBodies,
        readonly giveUp: GiveUpListener,
    ) {}

    /** Records bytes that have arrived; a listener of this body or of another one may be called. */
    add(bytes: number): void {
        this.bodies.add(this, bytes);
    }

    /** Ends the account; later bytes have no effect. */
    close(): void {
        this.bodies.close(this);
    }
}

/** Accounts of the bodies that are being received. */
export class ReceivedBodies {
    private readonly bodies = new Set<ReceivedBody>();
    private readonly boundBytes: number;
    private totalBytes = 0;
    private givenUpCount = 0;
    private loggedAt: Milliseconds | undefined;

    constructor(private readonly dependencies: ReceivedBodiesDependencies) {
        this.boundBytes = receivedBoundOf(dependencies.memoryBytes ?? 0);
    }

    /** Opens the account of a body from `endpoint`. */
    open(endpoint: string, giveUp: GiveUpListener): ReceivedBody {
        const body = new ReceivedBody(endpoint, this, giveUp);
        this.bodies.add(body);
        return body;
    }

    /** Records bytes of `body`, and gives up bodies at the bounds. */
    add(body: ReceivedBody, bytes: number): void {
        if (!this.bodies.has(body)) {
            return;
        }
        body.bytes += bytes;
        this.totalBytes += bytes;
        while (this.totalBytes > this.boundBytes) {
            const chosen = chooseBodyToGiveUp(this.bodies);
            if (!chosen) {
                return;
            }
            this.giveUp(chosen, new ReceivedBoundError(chosen.bytes, this.boundBytes));
        }
    }

    /** Ends the account of `body`. */
    close(body: ReceivedBody): void {
        if (this.bodies.delete(body)) {
            this.totalBytes -= body.bytes;
        }
    }

    private giveUp(body: ReceivedBody, error: DandelionrampError): void {
        this.close(body);
        this.givenUpCount++;
        this.dependencies.onGivenUp?.();
        this.log(body, error);
        body.giveUp(error);
    }

    private log({ endpoint, bytes }: ReceivedBody, error: DandelionrampError): void {
        const { clock, log = silentLog } = this.dependencies;
        const now = clock.now();
        if (this.loggedAt !== undefined && now - this.loggedAt < logInterval) {
            return;
        }
        log.warn("The body of a response is given up, because the bodies of all responses take too much memory.", {
            endpoint,
            bytes,
            reason: describeError(error),
            bodiesInProgress: this.bodies.size,
            givenUpSinceLastLine: this.givenUpCount,
        });
        this.loggedAt = now;
        this.givenUpCount = 0;
    }
}
