/** Sends one request to one placement: notes the work, sets memory aside where needed, and watches for silence. */
import type { AttemptOutcome, ForwardedRequest, StreamEvent } from "../../ports/forwardingPorts.js";
import { RefusalReason, StreamSilentError } from "../../ports/forwardingPorts.js";
import { RequestKind } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";
import { abortQuietly } from "../../utils/signal.js";
import type { Placement } from "../placement/endpointSelector.js";
import type { PlacedWork } from "../placement/engineEstimate.js";
import { endpointsOfPlacement, workOfPlacement } from "../placement/placementWork.js";
import type { Admission } from "./admission.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { MemoryHold } from "./memoryHold.js";

/** The lowest rank that an endpoint knows; work that is late in any case gets it. */
const lastRank = 9;
/** Part of the limit after which a silent endpoint is judged again. */
const askAgainPart = 0.2;
/**
 * Part of the target that a connection may take before another endpoint is tried, and its bounds: a connection takes a few
 * milliseconds between data centres, an instance without power never answers, and an entry may be busy for a moment.
 */
const connectPart = 1 / 3;
const connectAtLeast: Milliseconds = 100;
const connectAtMost: Milliseconds = 400;
const connectWithin = (target: Milliseconds): Milliseconds =>
    Math.min(connectAtMost, Math.max(connectAtLeast, target * connectPart));
/** Reservations of one request have names of their own, over all its sends. */
const reservationName = (requestId: string, send: number, index: number): string => `${requestId}-${send}-${index}`;

/** What is sent. */
export interface Dispatch {
    placement: Placement;
    request: ForwardedRequest;
    admission: Admission;
    /** Counts this request's tries to send, those without memory included. */
    number: number;
    resumeAfter: string | undefined;
    /** Cancels the work at the endpoint. */
    signal: AbortSignal;
    silence: Silence;
}

/** When an endpoint's silence ends a send. */
export interface Silence {
    /** The longest wait for the first event or the answer, and for each later event. */
    first: Milliseconds;
    later: Milliseconds;
    /** Asked after such a wait: whether the request may go elsewhere now. If not, the wait goes on. */
    mayLeave: () => Promise<boolean>;
}

/** What became of a try to send. */
export type DispatchOutcome =
    | AttemptOutcome
    /** It said nothing for so long that the request is sent elsewhere. */
    | { type: "Silent"; reason: string; }
    /** These endpoints hadn't the memory that was to be set aside; nothing was sent. */
    | { type: "NoMemory"; lacking: string[]; };

/** Whether another endpoint answered in the place of the one that was meant. */
const isOther = (outcome: AttemptOutcome): boolean =>
    outcome.type === "Refused" && outcome.reason === RefusalReason.WrongEndpoint;

const silentFor = (limit: Milliseconds): string => `silent for ${Math.round(limit)} ms`;

/** One try to send. */
export class Sender {
    private readonly ending = new AbortController();
    private hold: MemoryHold | undefined;

    private constructor(private readonly parts: ForwardingParts, private readonly dispatch: Dispatch) {}

    /** Sends, and resolves with what became of it. Notes the end of the work, also of a stream's. */
    static async send(parts: ForwardingParts, dispatch: Dispatch): Promise<DispatchOutcome> {
        return await new Sender(parts, dispatch).run();
    }

    private async run(): Promise<DispatchOutcome> {
        const { loads, cold, limits } = this.parts;
        const { placement, signal } = this.dispatch;
        if (!placement.recorded) {
            loads.recordPlaced(this.works());
        }
        cold.recordSent(placement.endpoint.record.id);
        limits.recordSent(placement.endpoint.record.id);
        const lacking = await this.setMemoryAside();
        if (lacking.length > 0) {
            this.end();
            return { type: "NoMemory", lacking };
        }
        const end = () => abortQuietly(this.ending);
        signal.addEventListener("abort", end, { once: true });
        if (signal.aborted) {
            end();
        }
        const sentAt = this.parts.clock.now();
        const outcome = await this.untilSilent(this.order(), this.dispatch.silence.first);
        if (outcome === undefined) {
            this.end();
            return { type: "Silent", reason: silentFor(this.dispatch.silence.first) };
        }
        this.noteLimit(outcome, sentAt);
        if (outcome.type === "Streaming") {
            return { ...outcome, events: this.watched(outcome.events) };
        }
        this.end();
        return outcome;
    }

    /** Takes what the answer says of the endpoint's limit. A refusal without one says nothing of it. */
    private noteLimit(outcome: AttemptOutcome, sentAt: Milliseconds): void {
        const { limits } = this.parts;
        const { id } = this.dispatch.placement.endpoint.record;
        if (!("limitPerSecond" in outcome) || isOther(outcome)) {
            return;
        }
        if (outcome.limitPerSecond !== undefined) {
            limits.recordLimit(id, outcome.limitPerSecond);
        }
        else if (outcome.type !== "Refused") {
            limits.recordNoLimit(id, sentAt);
        }
    }

    /** Endpoints that lack the memory; none when all of it is set aside. */
    private async setMemoryAside(): Promise<string[]> {
        const { placement, request, number } = this.dispatch;
        if (placement.shares.length === 0) {
            return [];
        }
        const shares = placement.shares.map(({ endpoint, tokens }, index) => ({
            reservation: reservationName(request.id, number, index),
            endpoint: endpoint.record,
            tokens,
        }));
        const gathered = await MemoryHold.gather(this.parts, shares, request.id);
        if ("lacking" in gathered) {
            return gathered.lacking;
        }
        this.hold = gathered.hold;
        return [];
    }

    private order(): Promise<AttemptOutcome> {
        const { placement, request, admission, resumeAfter, number } = this.dispatch;
        const { route, customer } = admission;
        const { clock, endpoints } = this.parts;
        const reservationOf = new Map(
            placement.shares.map((
                { endpoint },
                index,
            ) => [endpoint.record.id, reservationName(request.id, number, index)]),
        );
        const own = reservationOf.has(placement.endpoint.record.id) ? [placement.endpoint] : [];
        // Memory is filled in the order in which it is named, so those that hold some go first.
        const helpers = [...own, ...placement.helpers].map(({ record }) => ({
            address: record.address,
            reservation: reservationOf.get(record.id),
        })).sort((left, right) => Number(right.reservation !== undefined) - Number(left.reservation !== undefined));
        return endpoints.send(
            {
                request,
                endpoint: placement.endpoint.record,
                timeLeft: admission.deadline - clock.now(),
                customer: customer?.name,
                priority: placement.yields ? lastRank : Math.min(lastRank - 1, customer?.priority ?? route.priority),
                resumeAfter,
                helpers,
                streaming: route.kind === RequestKind.Streaming,
                connectWithin: connectWithin(route.targetLatency),
                mayReuseConnection: admission.repeatable,
            },
            this.ending.signal,
        );
    }

    /**
     * Waits for `work`; undefined when it was silent for `limit` and the request may go elsewhere.
     *
     * An endpoint or a connection that falls silent says nothing, while its health is good and new connections work. Without
     * a bound the caller gives up first. The work is cancelled, but only once somebody else can take it: silence alone ends
     * no answer.
     */
    private untilSilent<Result>(work: Promise<Result>, limit: Milliseconds): Promise<Result | undefined> {
        const { clock } = this.parts;
        return new Promise((resolve, reject) => {
            let over = false;
            const look = async () => {
                const leaves = !this.ending.signal.aborted && await this.dispatch.silence.mayLeave();
                if (over) {
                    return;
                }
                if (leaves) {
                    abortQuietly(this.ending);
                    resolve(undefined);
                    return;
                }
                stopTimer = clock.after(limit * askAgainPart, () => void look());
            };
            let stopTimer = clock.after(limit, () => void look());
            work.then(resolve, reject).finally(() => {
                over = true;
                stopTimer();
            });
        });
    }

    /** Passes events through; ends the work however the stream ends. */
    private async *watched(events: AsyncIterable<StreamEvent>): AsyncIterable<StreamEvent> {
        const iterator = events[Symbol.asyncIterator]();
        let limit = this.dispatch.silence.first;
        try {
            for (;;) {
                const next = await this.untilSilent(iterator.next(), limit);
                if (next === undefined) {
                    throw new StreamSilentError(silentFor(limit));
                }
                if (next.done) {
                    return;
                }
                limit = this.dispatch.silence.later;
                yield next.value;
            }
        }
        finally {
            // A caller who leaves stops reading here; the endpoint's side ends with the signal.
            abortQuietly(this.ending);
            void iterator.return?.();
            this.end();
        }
    }

    private end(): void {
        const { placement, request } = this.dispatch;
        this.hold?.release();
        this.hold = undefined;
        this.parts.loads.recordEnded(endpointsOfPlacement(placement), request.id);
    }

    private works(): PlacedWork[] {
        const { placement, request, admission } = this.dispatch;
        return workOfPlacement(placement, {
            id: request.id,
            owner: this.parts.entry,
            promptTokens: request.size?.promptTokens ?? 0,
            targetGap: admission.route.targetGap,
            endsBy: admission.deadline,
        });
    }
}
