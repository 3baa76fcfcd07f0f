/** The buffered bytes of one request, as the code that buffers them reports them. */
import { abortQuietly } from "../../utils/signal.js";
import { Execution, FailureKind, RequestFailure } from "../failures.js";
import type { HeldKind } from "./heldBytes.js";

/** Retry-After at the bound: the caller's next attempt probably reaches another entry, which may have memory left. */
const memoryRetrySeconds = 0.5;

/** Detail of the failure of a request that is ended at the bound. */
export const memoryBoundDetail = "the entry's memory for unread data is used up";

/** Failure of a request that was not sent to an endpoint because of the bound. */
export const createMemoryFailure = (detail = memoryBoundDetail): RequestFailure =>
    new RequestFailure(FailureKind.MemoryFull, Execution.NotRun, detail, memoryRetrySeconds);

/** How {@link RequestMemory} reports changes. */
export interface RequestMemoryListeners {
    /** Throws a {@link RequestFailure} when there is no memory for a new request. */
    admit: (bodyBytes: number) => void;
    /** Changes the number of buffered bytes of one kind by `difference`. */
    onChange: (kind: HeldKind, difference: number) => void;
    /** A part of the body has arrived. */
    onArriving: () => void;
    /** The whole body has arrived. */
    onArrived: () => void;
    onClosed: () => void;
}

/** Reports the buffered bytes of one request, and signals when the request must end because of the bound. */
export class RequestMemory {
    private readonly endController = new AbortController();

    constructor(private readonly listeners: RequestMemoryListeners) {}

    /** Aborts when the request must end because of the bound. */
    get ended(): AbortSignal {
        return this.endController.signal;
    }

    /** Throws a {@link RequestFailure} when there is no memory for a new request with a body of `bodyBytes`. */
    admit(bodyBytes: number): void {
        this.listeners.admit(bodyBytes);
    }

    /** Changes the number of buffered bytes of one kind by `difference`. */
    change(kind: HeldKind, difference: number): void {
        this.listeners.onChange(kind, difference);
    }

    /** Records that a part of the body has arrived. */
    recordArriving(): void {
        this.listeners.onArriving();
    }

    /** Records that the whole body has arrived, and that the request runs from now on. */
    recordArrived(): void {
        this.listeners.onArrived();
    }

    /** Ends the request because of the bound. */
    end(): void {
        abortQuietly(this.endController);
    }

    /** Releases the account of the request. Later changes have no effect. */
    close(): void {
        this.listeners.onClosed();
    }
}
