/** Finds out whether an endpoint is down, or only this entry's link to it. */
import { ConnectionCheck, type EndpointPort } from "../../ports/forwardingPorts.js";
import type { EndpointRecord } from "../../types/routing.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
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
    /** Another entry can connect to the endpoint, and this one can't. */
    LinkLost = "linkLost",
    /** This entry reaches no endpoint, and no other entry has checked for it. */
    Unknown = "unknown",
}

/** Checks endpoints that broke off or fell silent. */
export class EndpointChecker {
    private readonly checkByEndpoint = new Map<string, Promise<EndpointCondition>>();

    constructor(
        private readonly clock: Clock,
        private readonly endpointPort: EndpointPort,
        private readonly links: LinkTracker,
        private readonly relays: Relays,
    ) {}

    /** Checks `endpoint`. Checks of one endpoint at the same time share one result. */
    check(endpoint: EndpointRecord): Promise<EndpointCondition> {
        const { id } = endpoint;
        const current = this.checkByEndpoint.get(id);
        if (current) {
            return current;
        }
        const check = this.run(endpoint).finally(() => this.checkByEndpoint.delete(id));
        this.checkByEndpoint.set(id, check);
        return check;
    }

    private async run(endpoint: EndpointRecord): Promise<EndpointCondition> {
        await this.clock.sleep(checkDelay);
        const startedAt = this.clock.now();
        const own = this.links.isLost(endpoint)
            ? undefined
            : await this.endpointPort.checkConnection(endpoint, checkTimeout);
        if (own === ConnectionCheck.Accepted) {
            return EndpointCondition.Accepting;
        }
        // One other entry may have lost its link to just this endpoint, too.
        const relayed = await this.relays.askAtOnce(async ({ address }) => {
            const result = await this.endpointPort.checkConnection(endpoint, checkTimeout, address);
            return result === ConnectionCheck.RelayUnavailable ? undefined : result;
        });
        if (relayed.includes(ConnectionCheck.Accepted)) {
            this.links.recordLost(endpoint);
            await this.links.reachesOthers(endpoint, startedAt);
            return EndpointCondition.LinkLost;
        }
        const judgements = relayed.length > 0 ? relayed : await this.judgeAlone(endpoint, own, startedAt);
        if (judgements.length === 0) {
            return EndpointCondition.Unknown;
        }
        return judgements.includes(ConnectionCheck.Refused)
            ? EndpointCondition.Refusing
            : EndpointCondition.Unresponsive;
    }

    /** This entry's own result, if it reaches other endpoints. */
    private async judgeAlone(
        endpoint: EndpointRecord,
        own: ConnectionCheck | undefined,
        startedAt: Milliseconds,
    ): Promise<ConnectionCheck[]> {
        const isJudged = own !== undefined && await this.links.reachesOthers(endpoint, startedAt);
        return isJudged ? [own] : [];
    }
}
