/** Finds out whether an endpoint is down, or only this entry's link to it. */
import { ConnectionCheck, type EndpointPort } from "../../ports/forwardingPorts.js";
import type { PeerAddress } from "../../ports/peerChannelPort.js";
import type { EndpointRecord } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { AttemptPath } from "./attemptPath.js";
import type { LinkTracker } from "./linkTracker.js";
import type { Relays } from "./relays.js";

/** Delay of the check, in which a process that ends closes its listening socket. */
const checkDelay: Milliseconds = 10;
/** An instance responds within a few milliseconds, with or without a process that listens. */
const checkTimeout: Milliseconds = 300;

/** What a check has found out. */
export enum EndpointCondition {
    Accepting = "accepting",
    /** The instance runs, and no process listens there. */
    Refusing = "refusing",
    Unresponsive = "unresponsive",
    /** The endpoint accepts connections, and only the path to it was lost: this entry's link, or the entry that carried it. */
    LinkLost = "linkLost",
    /** This entry reaches no endpoint, and no other entry has checked for it. */
    Unknown = "unknown",
}

/** Checks endpoints that broke off or fell silent. */
export class EndpointChecker {
    private readonly checkByPath = new Map<string, Promise<EndpointCondition>>();

    constructor(
        private readonly clock: Clock,
        private readonly endpointPort: EndpointPort,
        private readonly links: LinkTracker,
        private readonly relays: Relays,
    ) {}

    /**
     * Checks `endpoint` over the path of an attempt that it has failed, so that the result explains the failure. Checks of one
     * endpoint over one path at the same time share one result.
     */
    async check(endpoint: EndpointRecord, path = new AttemptPath()): Promise<EndpointCondition> {
        if (!path.isCut) {
            return await this.checkOver(path.carrier, endpoint);
        }
        const condition = await this.checkOver(undefined, endpoint);
        return condition === EndpointCondition.Accepting ? EndpointCondition.LinkLost : condition;
    }

    private checkOver(carrier: PeerAddress | undefined, endpoint: EndpointRecord): Promise<EndpointCondition> {
        const key = `${carrier?.id ?? ""}/${endpoint.id}`;
        const current = this.checkByPath.get(key);
        if (current) {
            return current;
        }
        const check = this.run(endpoint, carrier).finally(() => this.checkByPath.delete(key));
        this.checkByPath.set(key, check);
        return check;
    }

    private async run(endpoint: EndpointRecord, carrier: PeerAddress | undefined): Promise<EndpointCondition> {
        await this.clock.sleep(checkDelay);
        const startedAt = this.clock.now();
        const own = carrier ? await this.checkBy(carrier, endpoint) : await this.checkDirectly(endpoint);
        if (own === ConnectionCheck.Accepted) {
            return EndpointCondition.Accepting;
        }
        // One other entry may have lost its link to just this endpoint, too.
        const relayed = await this.relays.askAtOnce(relay => this.connectBy(relay, endpoint));
        if (carrier && relayed.includes(ConnectionCheck.Accepted)) {
            return EndpointCondition.LinkLost;
        }
        if (relayed.includes(ConnectionCheck.Accepted)) {
            this.links.recordLost(endpoint);
            await this.links.reachesOthers(endpoint, startedAt);
            return EndpointCondition.LinkLost;
        }
        const judgements = relayed.length > 0 ? relayed : await this.judgeAlone(endpoint, carrier, own, startedAt);
        if (judgements.length === 0) {
            return EndpointCondition.Unknown;
        }
        return judgements.includes(ConnectionCheck.Refused)
            ? EndpointCondition.Refusing
            : EndpointCondition.Unresponsive;
    }

    private async checkDirectly(endpoint: EndpointRecord): Promise<ConnectionCheck | undefined> {
        return this.links.isLost(endpoint)
            ? undefined
            : await this.endpointPort.checkConnection(endpoint, checkTimeout);
    }

    private checkBy(carrier: PeerAddress, endpoint: EndpointRecord): Promise<ConnectionCheck | undefined> {
        return this.relays.ask(carrier, relay => this.connectBy(relay, endpoint));
    }

    private async connectBy({ address }: PeerAddress, endpoint: EndpointRecord): Promise<ConnectionCheck | undefined> {
        const result = await this.endpointPort.checkConnection(endpoint, checkTimeout, address);
        return result === ConnectionCheck.RelayUnavailable ? undefined : result;
    }

    /** The only result, if the entry that has it reaches other endpoints. A carrying entry gives none where it doesn't. */
    private async judgeAlone(
        endpoint: EndpointRecord,
        carrier: PeerAddress | undefined,
        own: ConnectionCheck | undefined,
        startedAt: Milliseconds,
    ): Promise<ConnectionCheck[]> {
        const isJudged = own !== undefined
            && (carrier !== undefined || await this.links.reachesOthers(endpoint, startedAt));
        return isJudged ? [own] : [];
    }
}
