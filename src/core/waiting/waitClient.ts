/**
 * Finds endpoints for requests of this entry that may wait: asks the placer that keeps the queue of the service, waits for its
 * answer, and asks again when none comes. An entry that keeps the queue itself adds the request to it.
 */
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { PartLog } from "../../utils/log.js";
import type { Metrics } from "../metrics.js";
import type { Placement } from "../placement/endpointSelector.js";
import type { PlacementRequest, WaitTerms } from "../placement/placementClient.js";
import type { PlacementAnswer, PlacementQuestion, SerializedPlacement } from "../placement/placementQuestion.js";
import { AnswerMailbox } from "./answerMailbox.js";
import { LocalWait, type LocalWaitDependencies } from "./localWait.js";
import type { WaitPlacer } from "./waitPlacer.js";

/** A placer answers at once whether a request waits; see the timeout of other placement questions. */
const answerTimeout: Milliseconds = 40;
/** Bounds of the time after which a placer wants to be asked again. */
const minimumRenewalInterval: Milliseconds = 50;
const maximumRenewalInterval: Milliseconds = 5_000;
/** Placers in succession that may leave a question without an answer. */
const maximumUnansweredQuestions = 2;
/** Ended waits that are remembered so that the placement of a late answer is released. */
const maximumEndedWaits = 256;

/** Access to the placer that keeps the queue of a service. */
export interface WaitPeers {
    waitPlacer(service: string): WaitPlacer;
    hasUnresponsivePlacers(): boolean;
    recordPlacerTimeout(id: string): void;
    requestPlacement(address: string, question: PlacementQuestion): void;
    withdrawWaiter(address: string, requestId: string): void;
}

/** Dependencies of {@link WaitClient}. */
export interface WaitClientDependencies extends LocalWaitDependencies {
    clock: Clock;
    log: PartLog;
    metrics: Metrics;
    peers: WaitPeers;
    nextSerial: () => number;
    buildQuestion: (serial: number, request: PlacementRequest) => PlacementQuestion;
    /** Uses a placement that a placer granted, or chooses one here if this entry knows better. */
    accept: (request: PlacementRequest, placement: SerializedPlacement, placer: string) => Placement | undefined;
    /** Chooses here, without a queue. */
    chooseLocally: (request: PlacementRequest) => Placement | undefined;
    /** Handles an answer without endpoints. */
    handleNoEndpoint: (request: PlacementRequest) => Placement | undefined;
    /** Ends a placement that isn't used. */
    release: (endpoints: readonly string[], requestId: string) => void;
}

/** A wait that has ended, with the endpoints that the request was placed at. */
interface EndedWait {
    requestId: string;
    endpoints: readonly string[];
}

/** Waits for placements. */
export class WaitClient {
    private readonly mailboxes = new Map<number, AnswerMailbox>();
    private readonly endedWaits = new Map<number, EndedWait>();

    constructor(private readonly dependencies: WaitClientDependencies) {}

    /** Resolves with a placement, also a postponed one that is sent all the same; undefined when there is none. */
    async choose(request: PlacementRequest, terms: WaitTerms): Promise<Placement | undefined> {
        const placer = this.dependencies.peers.waitPlacer(request.requirements.service.name);
        switch (placer.type) {
            case "Local":
                return await new LocalWait(this.dependencies, request, terms).run();
            case "Remote":
                return await this.waitRemotely(request, terms);
            case "None":
                this.dependencies.metrics.count("placements_without_placer_total");
                return this.dependencies.chooseLocally(request);
        }
    }

    /** Takes the answer to a question of this client; returns false for answers to other questions. */
    receiveAnswer(answer: PlacementAnswer): boolean {
        const mailbox = this.mailboxes.get(answer.serial);
        if (mailbox) {
            mailbox.put(answer);
            return true;
        }
        const ended = this.endedWaits.get(answer.serial);
        if (ended && answer.type === "Chosen" && !answer.placement.postponed) {
            const { endpoint, helpers } = answer.placement;
            const unused = [endpoint, ...helpers].filter(id => !ended.endpoints.includes(id));
            if (unused.length > 0) {
                this.dependencies.release(unused, ended.requestId);
            }
        }
        return ended !== undefined;
    }

    private async waitRemotely(request: PlacementRequest, terms: WaitTerms): Promise<Placement | undefined> {
        const serial = this.dependencies.nextSerial();
        const wait = new RemoteWait(this.dependencies, serial, request, terms);
        this.mailboxes.set(serial, wait.mailbox);
        try {
            return await wait.run();
        }
        finally {
            this.mailboxes.delete(serial);
            this.rememberEnded(serial, { requestId: request.id, endpoints: wait.usedEndpoints });
        }
    }

    private rememberEnded(serial: number, ended: EndedWait): void {
        this.endedWaits.set(serial, ended);
        for (const oldestSerial of this.endedWaits.keys()) {
            if (this.endedWaits.size <= maximumEndedWaits) {
                return;
            }
            this.endedWaits.delete(oldestSerial);
        }
    }
}

/** One question that is asked until it is answered with a placement. */
class RemoteWait {
    readonly mailbox: AnswerMailbox;
    /** Endpoints of the granted placement that is used. */
    usedEndpoints: readonly string[] = [];
    /** Addresses of the placers that keep a waiter for the request. */
    private readonly waitingAt = new Set<string>();

    constructor(
        private readonly dependencies: WaitClientDependencies,
        private readonly serial: number,
        private readonly request: PlacementRequest,
        private readonly terms: WaitTerms,
    ) {
        this.mailbox = new AnswerMailbox(dependencies.clock, terms.signal);
    }

    async run(): Promise<Placement | undefined> {
        const { peers, metrics, chooseLocally } = this.dependencies;
        const limit = peers.hasUnresponsivePlacers() ? 1 : maximumUnansweredQuestions;
        let unansweredCount = 0;
        while (unansweredCount < limit) {
            const placer = peers.waitPlacer(this.request.requirements.service.name);
            if (placer.type !== "Remote") {
                break;
            }
            const answer = await this.ask(placer);
            if (this.terms.signal.aborted) {
                this.withdraw();
                return undefined;
            }
            switch (answer?.type) {
                case "Chosen":
                    return this.accept(answer.placement, placer);
                case "NoEndpoint":
                    this.waitingAt.delete(placer.address);
                    this.withdraw();
                    return this.dependencies.handleNoEndpoint(this.request);
                case "Waiting":
                    // The time to ask again has come.
                    unansweredCount = 0;
                    continue;
                case "Declined":
                case undefined:
                    unansweredCount++;
                    this.recordUnanswered(placer, answer !== undefined);
                    continue;
            }
        }
        this.withdraw();
        metrics.count("placements_without_placer_total");
        return chooseLocally(this.request);
    }

    /** Asks the placer. Resolves with its last answer when it has answered with a placement or is to be asked again. */
    private async ask(placer: Extract<WaitPlacer, { type: "Remote"; }>): Promise<PlacementAnswer | undefined> {
        const { peers, buildQuestion } = this.dependencies;
        peers.requestPlacement(placer.address, { ...buildQuestion(this.serial, this.request), mayWait: true });
        let answer = await this.mailbox.next(answerTimeout);
        while (answer?.type === "Waiting") {
            this.recordWaiting(placer.address);
            const renewIn = Math.min(maximumRenewalInterval, Math.max(minimumRenewalInterval, answer.renewIn));
            const nextAnswer = await this.mailbox.next(renewIn);
            if (!nextAnswer) {
                break;
            }
            answer = nextAnswer;
        }
        return answer;
    }

    private recordWaiting(address: string): void {
        if (this.waitingAt.size === 0) {
            this.terms.onWaiting();
        }
        this.waitingAt.add(address);
    }

    private accept(placement: SerializedPlacement, placer: { id: string; address: string; }): Placement | undefined {
        const accepted = this.dependencies.accept(this.request, placement, placer.id);
        this.usedEndpoints = accepted
            ? [accepted.endpoint, ...accepted.helpers].map(({ record }) => record.id)
            : [];
        this.waitingAt.delete(placer.address);
        this.withdraw();
        return accepted;
    }

    /** Withdraws the request at the placers that keep it. Others may not know the message. */
    private withdraw(): void {
        for (const address of this.waitingAt) {
            this.dependencies.peers.withdrawWaiter(address, this.request.id);
        }
        this.waitingAt.clear();
    }

    private recordUnanswered({ id }: { id: string; }, isDeclined: boolean): void {
        this.dependencies.peers.recordPlacerTimeout(id);
        this.dependencies.log.info("The entry that keeps the wait queue gave no answer.", {
            requestId: this.request.id,
            placer: id,
            declined: isDeclined,
        });
    }
}
