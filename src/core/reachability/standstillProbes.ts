/**
 * Tells a process that stands still from an instance that is gone. The system of the first one still accepts connections; an
 * instance without power, or behind a cut, accepts none.
 */
import { ConnectionCheck, type EndpointPort } from "../../ports/forwardingPorts.js";
import type { EndpointRecord } from "../../types/routing.js";
import type { Milliseconds } from "../../utils/clock.js";

/** An instance accepts within a few milliseconds. */
export const standstillProbeTimeout: Milliseconds = 100;

/** Probes endpoints that have sent nothing for a while. */
export class StandstillProbes {
    private readonly probeByAddress = new Map<string, Promise<boolean>>();

    constructor(private readonly endpointPort: Pick<EndpointPort, "checkConnection">) {}

    /** Whether the instance of `endpoint` accepts connections. Requests that ask at the same time share one probe. */
    acceptsConnections(endpoint: EndpointRecord): Promise<boolean> {
        const { address } = endpoint;
        const current = this.probeByAddress.get(address);
        if (current) {
            return current;
        }
        const probe = this.probe(endpoint).finally(() => this.probeByAddress.delete(address));
        this.probeByAddress.set(address, probe);
        return probe;
    }

    private async probe(endpoint: EndpointRecord): Promise<boolean> {
        const result = await this.endpointPort.checkConnection(endpoint, standstillProbeTimeout);
        return result === ConnectionCheck.Accepted;
    }
}
