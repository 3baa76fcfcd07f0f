/** Keeps the bytes that this entry buffers for callers and endpoints below a bound derived from the instance's memory. */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { Metrics } from "../metrics.js";
import { HeldBytes, HeldKind, type HeldRequest } from "./heldBytes.js";
import {
    boundOf,
    chooseArriving,
    chooseAtBound,
    chooseLateArrival,
    chooseStalled,
    exceedsAdmission,
    exceedsBound,
} from "./memoryBound.js";
import { createMemoryFailure, RequestMemory } from "./requestMemory.js";

/** How often the process's own use is measured. It grows with the load by several times of what it is at the start. */
const boundUpdateInterval: Milliseconds = 1_000;

/** Memory of the instance, and the part of it that the process uses. */
export interface InstanceMemory {
    /** Memory that the process may use; 0 where it is unknown. */
    limitBytes: number;
    /** Memory that the process uses now. */
    residentBytes: () => number;
}

/** An instance whose memory is unknown. */
export const unknownMemory: InstanceMemory = { limitBytes: 0, residentBytes: () => 0 };

/** Dependencies of {@link MemoryGuard}. */
export interface MemoryGuardDependencies {
    clock: Clock;
    log: PartLog;
    metrics: Metrics;
    memory: InstanceMemory;
    /** Whether the bytes of new requests are bounded; true by default. */
    isOn?: () => boolean;
    /** Size of the largest body that callers may send; 0 by default. */
    largestBodyBytes?: () => number;
}

/** Why a request is ended. */
enum EndReason {
    Bound = "bound",
    /** A new request needs the memory, and the peer has read nothing for some time. */
    Stalled = "stalled",
    /** A new request needs the memory, and the body stands still or arrives slowly. */
    Late = "late",
}

/** Counts buffered bytes, rejects new requests and ends requests. */
export class MemoryGuard {
    private readonly held = new HeldBytes();
    private readonly memoryByRequest = new Map<HeldRequest, RequestMemory>();
    private bound: { bytes: number; computedAt: Milliseconds; } | undefined;

    constructor(private readonly dependencies: MemoryGuardDependencies) {}

    /** Number of buffered bytes. */
    get heldBytes(): number {
        return this.held.total;
    }

    /** Number of bytes that may be buffered; 0 until the first request whose bytes are bounded. */
    get boundBytes(): number {
        return this.bound?.bytes ?? 0;
    }

    /** Begins to count the bytes of a new request; undefined where they are not bounded. */
    open(id: string): RequestMemory | undefined {
        const { clock, memory, isOn } = this.dependencies;
        if (memory.limitBytes === 0 || isOn?.() === false) {
            return undefined;
        }
        this.updateBound();
        const request = this.held.open(id, clock.now());
        const requestMemory = new RequestMemory({
            admit: bodyBytes => this.admit(request, bodyBytes),
            onChange: (kind, difference) => this.record(request, kind, difference),
            onArriving: () => {
                request.arrivedAt = clock.now();
            },
            onArrived: () => {
                request.isArriving = false;
            },
            onClosed: () => this.close(request),
        });
        this.memoryByRequest.set(request, requestMemory);
        return requestMemory;
    }

    /** Computes the bound again after {@link boundUpdateInterval}. */
    private updateBound(): void {
        const { clock, memory } = this.dependencies;
        const now = clock.now();
        if (this.bound && now - this.bound.computedAt < boundUpdateInterval) {
            return;
        }
        const ownBytes = memory.residentBytes() - this.held.total;
        const largestBodyBytes = this.dependencies.largestBodyBytes?.() ?? 0;
        this.bound = { bytes: boundOf(memory.limitBytes, ownBytes, largestBodyBytes), computedAt: now };
    }

    /** Rejects a new request at the bound for new requests, unless ending stalled or late requests leaves enough memory. */
    private admit(request: HeldRequest, bodyBytes: number): void {
        const { clock, metrics } = this.dependencies;
        while (exceedsAdmission(this.held.total, bodyBytes, this.boundBytes)) {
            const others = [...this.held.all].filter(other => other !== request);
            const stalled = chooseStalled(others, clock.now());
            const chosen = stalled ?? chooseLateArrival(others, bodyBytes, clock.now());
            if (!chosen) {
                metrics.count("memory_rejections_total");
                throw createMemoryFailure(
                    `the entry buffers ${this.held.total} of ${
                        Math.round(this.boundBytes)
                    } bytes for requests in progress`,
                );
            }
            this.end(chosen, stalled ? EndReason.Stalled : EndReason.Late);
        }
    }

    private record(request: HeldRequest, kind: HeldKind, difference: number): void {
        this.held.change(request, kind, difference, this.dependencies.clock.now());
        this.updateBound();
        while (difference > 0 && exceedsBound(this.held.total, this.boundBytes)) {
            const choose = kind === HeldKind.Head ? chooseArriving : chooseAtBound;
            const chosen = choose(this.held.all, this.dependencies.clock.now());
            if (!chosen) {
                return;
            }
            this.end(chosen, EndReason.Bound);
        }
    }

    private end(request: HeldRequest, reason: EndReason): void {
        const { clock, log, metrics } = this.dependencies;
        const now = clock.now();
        const reader = request.of(HeldKind.Unsent) > request.of(HeldKind.Unwritten) ? "endpoint" : "caller";
        metrics.count("memory_ended_total", `reader="${reader}",reason="${reason}"`);
        const message = request.isArriving
            ? "A request is ended, because its body takes memory and hasn't arrived."
            : "A request is ended, because its data stays unread.";
        log.warn(message, {
            requestId: request.id,
            reason,
            reader,
            bytes: request.total,
            unreadBytes: request.waiting,
            unreadFor: request.waitingSince === undefined ? undefined : Math.round(now - request.waitingSince),
            sinceLastRead: Math.round(now - request.progressAt),
            sinceLastArrival: request.isArriving ? Math.round(now - request.arrivedAt) : undefined,
            bufferedBytes: this.held.total,
            boundBytes: Math.round(this.boundBytes),
        });
        const requestMemory = this.memoryByRequest.get(request);
        this.close(request);
        requestMemory?.end();
    }

    private close(request: HeldRequest): void {
        this.held.close(request);
        this.memoryByRequest.delete(request);
    }
}
