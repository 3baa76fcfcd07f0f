/** Account of the bytes that an entry buffers for each request. Pure: the time of each change is passed in. */
import type { Milliseconds } from "../../utils/clock.js";

/** Why bytes are buffered. */
export enum HeldKind {
    /** The head of the request, with the objects that its request takes in the process's heap. */
    Head = "head",
    /** The body of the request, kept until the request ends because it may be sent again. */
    Body = "body",
    /** The part of the body that the endpoint has not read yet; these bytes count once, as body. */
    Unsent = "unsent",
    /** A response that is received completely before it is sent to the caller. */
    Received = "received",
    /** Bytes of the response that are not yet written to the caller's connection. */
    Unwritten = "unwritten",
}

/** Bytes buffered for one request. */
export class HeldRequest {
    /** When the request began to hold bytes, without interruption, that a peer has not read. */
    waitingSince: Milliseconds | undefined;
    /** When a peer last read bytes, or when the waiting began. */
    progressAt: Milliseconds;
    /** Whether the request waits behind another one of its connection, or for the rest of its body. Nothing of it has run then. */
    isArriving = true;
    /** When a byte of the body last arrived, or when the request was opened. */
    arrivedAt: Milliseconds;
    private readonly bytes: Record<HeldKind, number> = {
        [HeldKind.Head]: 0,
        [HeldKind.Body]: 0,
        [HeldKind.Unsent]: 0,
        [HeldKind.Received]: 0,
        [HeldKind.Unwritten]: 0,
    };

    constructor(readonly id: string, readonly openedAt: Milliseconds) {
        this.progressAt = openedAt;
        this.arrivedAt = openedAt;
    }

    /** Number of bytes in memory. */
    get total(): number {
        const { Head, Body, Received, Unwritten } = HeldKind;
        return this.bytes[Head] + this.bytes[Body] + this.bytes[Received] + this.bytes[Unwritten];
    }

    /** Number of bytes that a peer has not read: the caller its response, or the endpoint the body. */
    get waiting(): number {
        return this.bytes[HeldKind.Unsent] + this.bytes[HeldKind.Unwritten];
    }

    /** Number of bytes of one kind. */
    of(kind: HeldKind): number {
        return this.bytes[kind];
    }

    /** Changes the number of bytes of one kind by `difference`. */
    change(kind: HeldKind, difference: number, now: Milliseconds): void {
        const waitingBefore = this.waiting;
        this.bytes[kind] += difference;
        if (this.waiting === 0) {
            this.waitingSince = undefined;
        }
        else if (this.waitingSince === undefined) {
            this.waitingSince = now;
            this.progressAt = now;
        }
        else if (this.waiting < waitingBefore) {
            this.progressAt = now;
        }
    }
}

/** Bytes buffered for all requests of an entry. */
export class HeldBytes {
    private readonly requests = new Set<HeldRequest>();
    private totalBytes = 0;

    /** Number of bytes buffered for all requests. */
    get total(): number {
        return this.totalBytes;
    }

    /** Requests whose bytes are counted. */
    get all(): Iterable<HeldRequest> {
        return this.requests;
    }

    /** Begins to count the bytes of a request. */
    open(id: string, now: Milliseconds): HeldRequest {
        const request = new HeldRequest(id, now);
        this.requests.add(request);
        return request;
    }

    /** Changes the number of bytes of one kind by `difference`. Has no effect on a request that is closed. */
    change(request: HeldRequest, kind: HeldKind, difference: number, now: Milliseconds): void {
        if (!this.requests.has(request)) {
            return;
        }
        this.totalBytes -= request.total;
        request.change(kind, difference, now);
        this.totalBytes += request.total;
    }

    /** Stops counting the bytes of a request, because its buffers are released. */
    close(request: HeldRequest): void {
        if (this.requests.delete(request)) {
            this.totalBytes -= request.total;
        }
    }
}
