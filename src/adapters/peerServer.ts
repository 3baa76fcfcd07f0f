/** Serves the methods that peers call, by JSON-RPC 2.0 over HTTP. */
import { JSONRPCRequest, JSONRPCServer } from "json-rpc-2.0";
import {
    Clock,
    EntryNode,
    Heartbeat,
    listen,
    Listener,
    Milliseconds,
    PermitRequest,
    readBody,
    sendJson,
} from "../internal.js";

const maximumBodyBytes = 8 * 1024 * 1024;
/** Timeout for a call to arrive. Its sender has given up by then. */
const bodyTimeout: Milliseconds = 2_000;

/** RPC methods between entries. */
export enum PeerMethod {
    Heartbeat = "heartbeat",
    ConfigurationSince = "configurationSince",
    RequestPermit = "requestPermit",
    ReturnPermit = "returnPermit",
    ClaimProgress = "claimProgress",
    KeyHistory = "keyHistory",
    LiveHoldings = "liveHoldings",
}

const createRpcServer = (node: EntryNode): JSONRPCServer => {
    const server = new JSONRPCServer();
    server.addMethod(PeerMethod.Heartbeat, ({ heartbeat }: { heartbeat: Heartbeat; }) => {
        node.applyHeartbeat(heartbeat);
        return node.heartbeat();
    });
    server.addMethod(
        PeerMethod.ConfigurationSince,
        ({ revision }: { revision: number; }) => node.configurationSince(revision),
    );
    server.addMethod(
        PeerMethod.RequestPermit,
        ({ request }: { request: PermitRequest; }) => node.coldStart.handleRequest(request),
    );
    server.addMethod(
        PeerMethod.ReturnPermit,
        ({ request }: { request: PermitRequest; }) => {
            node.coldStart.handleReturn(request);
            return true;
        },
    );
    server.addMethod(PeerMethod.ClaimProgress, ({ nonce }: { nonce: string; }) => node.claims.progress(nonce));
    server.addMethod(
        PeerMethod.KeyHistory,
        ({ claimName }: { claimName: string; }) => node.claims.keyHistory(claimName),
    );
    server.addMethod(PeerMethod.LiveHoldings, ({ holdingIds }: { holdingIds: string[]; }) => ({
        incarnation: node.incarnation,
        live: node.holdings.filterLive(holdingIds),
    }));
    return server;
};

/** Listens at `address` for peers. `getNode` is called with the first request, because the node starts after this server. */
export const servePeers = (getNode: () => EntryNode, address: string, clock: Clock): Promise<Listener> => {
    let server: JSONRPCServer | undefined;
    return listen(address, async (request, response) => {
        const text = (await readBody(request, maximumBodyBytes, { limit: bodyTimeout, clock })).toString("utf8");
        server ??= createRpcServer(getNode());
        const rpcResponse = await server.receive(JSON.parse(text) as JSONRPCRequest);
        sendJson(response, 200, rpcResponse);
    });
};
