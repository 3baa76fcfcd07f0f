/** Bounds on what the clients of a small HTTP server may cost: connections, requests in a row, and bodies that nobody reads. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ConnectionTable, ConnectionUse, type TableConnection } from "../../core/connectionBounds/connectionTable.js";

/** Requests that may wait for their answers on one connection. Entries and platforms send one at a time. */
const maximumRequestsInRow = 16;

/** A connection of such a server. */
class ServerConnection implements TableConnection {
    readonly use = ConnectionUse.Idle;
    openResponses = 0;

    constructor(private readonly socket: Socket) {}

    close(): void {
        this.socket.destroy();
    }
}

/** Keeps `server` within `maximumConnections`. At the bound the connection whose last request is the longest ago is closed. */
export const boundServer = (server: Server, maximumConnections: number): void => {
    const table = new ConnectionTable(maximumConnections);
    const connectionBySocket = new WeakMap<Socket, ServerConnection>();
    server.prependListener("connection", (socket: Socket) => {
        const connection = new ServerConnection(socket);
        connectionBySocket.set(socket, connection);
        table.add(connection);
        socket.once("close", () => table.remove(connection));
    });
    server.prependListener("request", (request: IncomingMessage, response: ServerResponse) => {
        const connection = connectionBySocket.get(request.socket);
        if (!connection) {
            return;
        }
        table.recordUse(connection);
        connection.openResponses++;
        response.once("close", () => connection.openResponses--);
        if (connection.openResponses > maximumRequestsInRow) {
            connection.close();
        }
        response.once("finish", () => {
            // The rest of the body may have no end.
            if (!request.complete) {
                request.socket.destroySoon();
            }
        });
    });
    server.prependListener("connect", (...[, stream]) => {
        const connection = connectionBySocket.get(stream as Socket);
        if (connection) {
            table.remove(connection);
        }
    });
};
