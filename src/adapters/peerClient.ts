/** Calls methods of peers by JSON-RPC 2.0 over HTTP. */
import { JSONRPCClient, JSONRPCResponse } from "json-rpc-2.0";
import {
    ClaimProgress,
    Clock,
    describeError,
    Heartbeat,
    KeyHistory,
    PeerConfiguration,
    PeerLostError,
    PeerMethod,
    PeerPort,
    PermitDecision,
    PermitRequest,
    requestJson,
    withTimeout,
} from "../internal.js";

const callTimeoutMilliseconds = 800;
/** Limit on a response: the whole configuration at most. */
const maximumResponseBytes = 32 * 1024 * 1024;

/** Client for the RPC methods of peers. */
export class PeerClient implements PeerPort {
    private readonly clientByAddress = new Map<string, JSONRPCClient>();

    constructor(private readonly clock: Clock) {}

    heartbeat(address: string, heartbeat: Heartbeat): Promise<Heartbeat> {
        return this.call(address, PeerMethod.Heartbeat, { heartbeat });
    }

    configurationSince(address: string, revision: number): Promise<PeerConfiguration> {
        return this.call(address, PeerMethod.ConfigurationSince, { revision });
    }

    requestPermit(address: string, request: PermitRequest): Promise<PermitDecision> {
        return this.call(address, PeerMethod.RequestPermit, { request });
    }

    async returnPermit(address: string, request: PermitRequest): Promise<void> {
        await this.call(address, PeerMethod.ReturnPermit, { request });
    }

    claimProgress(address: string, claimName: string, nonce: string): Promise<ClaimProgress> {
        return this.call(address, PeerMethod.ClaimProgress, { claimName, nonce });
    }

    keyHistory(address: string, claimName: string): Promise<KeyHistory> {
        return this.call(address, PeerMethod.KeyHistory, { claimName });
    }

    liveHoldings(address: string, holdingIds: string[]): Promise<{ incarnation: string; live: string[]; }> {
        return this.call(address, PeerMethod.LiveHoldings, { holdingIds });
    }

    private async call<Result>(address: string, method: PeerMethod, parameters: object): Promise<Result> {
        try {
            return await withTimeout(
                this.clock,
                callTimeoutMilliseconds,
                `the peer call ${method}`,
                async () => await this.clientOf(address).request(method, parameters) as Result,
            );
        }
        catch (error) {
            throw new PeerLostError(`${address}: ${describeError(error)}`, { cause: error });
        }
    }

    private clientOf(address: string): JSONRPCClient {
        let client = this.clientByAddress.get(address);
        if (!client) {
            client = this.createClient(address);
            this.clientByAddress.set(address, client);
        }
        return client;
    }

    private createClient(address: string): JSONRPCClient {
        const client: JSONRPCClient = new JSONRPCClient(async payload => {
            const response = await withTimeout(
                this.clock,
                callTimeoutMilliseconds,
                "the HTTP exchange with a peer",
                signal => requestJson({ address, method: "POST", path: "/rpc", signal, maximumResponseBytes }, payload),
            );
            client.receive(response.value as JSONRPCResponse);
        });
        return client;
    }
}
