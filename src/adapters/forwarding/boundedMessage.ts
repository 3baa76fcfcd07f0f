/** Ends Node's parsing of a connection whose client has sent too many requests in a row. */
import http from "node:http";
import type { Socket } from "node:net";

/**
 * Creates the class of a server's requests. Node parses all of a read at once, some thousand requests, and keeps the objects of
 * each until the connection has closed. A request that switches protocols ends that: so one for which `isRejected` returns true
 * says that it does, and Node closes the connection, as nobody takes it over.
 */
export const createBoundedMessage = (isRejected: (socket: Socket) => boolean): typeof http.IncomingMessage =>
    class extends http.IncomingMessage {
        private readonly isRejected: boolean;
        private switchesProtocols: boolean | undefined;

        constructor(socket: Socket) {
            super(socket);
            this.isRejected = isRejected(socket);
        }

        /** Set by Node's parser, and read to find out whether the parsing ends with this request. */
        get upgrade(): boolean | undefined {
            return this.isRejected || this.switchesProtocols;
        }

        set upgrade(value: boolean | undefined) {
            this.switchesProtocols = value;
        }
    };
