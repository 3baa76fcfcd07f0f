/** The peers' port: JSON-RPC 2.0 over HTTP. */
import { JSONRPCRequest, JSONRPCServer } from "json-rpc-2.0";
import { EntryNode, Heartbeat, listen, Listener, PermitRequest, readBody, sendJson } from "../internal.js";

const bodyLimitBytes = 8 * 1024 * 1024;

/** Methods that entries offer one another. */
export enum PeerMethod {
    Heartbeat = "heartbeat",
    ConfigurationSince = "configurationSince",
    RequestPermit = "requestPermit",
    ReturnPermit = "returnPermit",
    ClaimProgress = "claimProgress",
    KeyHistory = "keyHistory",
    LiveHoldings = "liveHoldings",
}

const newServer = (node: EntryNode): JSONRPCServer => {
    const server = new JSONRPCServer();
    server.addMethod(PeerMethod.Heartbeat, ({ heartbeat }: { heartbeat: Heartbeat; }) => {
        node.heardFrom(heartbeat);
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

/** Serves peers of `node` at `address`. */
export const servePeers = (node: () => EntryNode, address: string): Promise<Listener> => {
    let server: JSONRPCServer | undefined;
    return listen(address, async (request, response) => {
        const text = (await readBody(request, bodyLimitBytes)).toString("utf8");
        server ??= newServer(node());
        const answer = await server.receive(JSON.parse(text) as JSONRPCRequest);
        sendJson(response, 200, answer);
    });
};
