/** Connects to endpoints like an entry whose links to them can be cut, while other entries reach them. */
import { platformWire } from "../../../platform/forwardingWire.js";
import { EndpointClient } from "../../../src/adapters/forwarding/endpointClient.js";
import {
    type AttemptOutcome,
    ConnectFailure,
    ConnectionCheck,
    type EndpointAttempt,
    type EndpointPort,
    type ReportListener,
} from "../../../src/ports/forwardingPorts.js";
import type { EndpointRecord } from "../../../src/types/routing.js";
import { systemClock } from "../../../src/utils/clock.js";

/** An endpoint port whose own connections can be cut. */
export class CutEndpointPort implements EndpointPort {
    isCut = false;
    /** Endpoints whose instances have lost power: new connections hang. */
    readonly withoutPower = new Set<string>();
    private readonly client = new EndpointClient(platformWire, systemClock);

    set onConnected(listener: (endpoint: EndpointRecord) => void) {
        this.client.onConnected = listener;
    }

    async send(attempt: EndpointAttempt, signal: AbortSignal, onReport: ReportListener): Promise<AttemptOutcome> {
        if (this.isCut && attempt.relay === undefined) {
            return { type: "Unreached", reason: "cut", failure: ConnectFailure.Refused };
        }
        if (this.withoutPower.has(attempt.endpoint.id)) {
            await systemClock.sleep(attempt.connectTimeout, signal);
            return { type: "Unreached", reason: "no power", failure: ConnectFailure.NoResponse };
        }
        return await this.client.send(attempt, signal, onReport);
    }

    async checkConnection(endpoint: EndpointRecord, timeout: number, relay?: string): Promise<ConnectionCheck> {
        if (this.withoutPower.has(endpoint.id)) {
            await systemClock.sleep(timeout);
            return ConnectionCheck.NoResponse;
        }
        if (this.isCut && relay === undefined) {
            return ConnectionCheck.Refused;
        }
        return await this.client.checkConnection(endpoint, timeout, relay);
    }

    isReplaced(endpoint: EndpointRecord, healthPath: string, timeout: number): Promise<boolean> {
        return this.isCut ? Promise.resolve(false) : this.client.isReplaced(endpoint, healthPath, timeout);
    }
}
