/**
 * Opens connections to endpoints by way of another entry, through HTTP's `CONNECT`. The other entry copies the bytes in both
 * directions and doesn't read them. It puts the bytes of the endpoint into frames; an earlier version of an entry doesn't.
 */
import http from "node:http";
import type { Socket } from "node:net";
import { ConnectFailure } from "../../ports/forwardingPorts.js";
import type { EndpointRecord } from "../../types/routing.js";
import { splitAddress } from "../../utils/address.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import { describeError } from "../../utils/errors.js";
import { createUnlessInvalid } from "../../utils/invalidArguments.js";
import { limitHeadBytes } from "../../utils/responseHeadLimit.js";
import { FramedConnection } from "./framedConnection.js";

/** Header with the identifier of the endpoint; its address may belong to another one by now. */
export const relayEndpointHeader = "endpoint-id";
/** Header with the timeout for the connection to the endpoint, in milliseconds. */
export const relayTimeoutHeader = "connect-timeout-ms";

/** Header of the request and of the answer: the bytes of the endpoint come in frames, see {@link sendFrames}. */
export const relayFramingHeader = "response-framing";
export const relayFraming = "frames";
/**
 * Header of the request: the entry understands the frame that declares a reset. An entry of an earlier version doesn't know it,
 * and resets the carried connection instead.
 */
export const relayResetHeader = "response-resets";
export const relayResetFraming = "frames";

/** Statuses of the other entry's answer. */
export enum RelayStatus {
    Connected = 200,
    /** The endpoint refused the connection. */
    Refused = 502,
    /** The entry carries no connection to the endpoint, or can't connect to any. */
    Unavailable = 503,
    /** The endpoint didn't respond. */
    NoResponse = 504,
}

/** Time that the other entry has, beyond the connect timeout, to find out whether it reaches other endpoints. */
const relayAnswerMargin: Milliseconds = 150;

/** A connection that another entry carries. Where it declares ends, it ends in the ordinary way only when the endpoint has ended it. */
export type RelayedSocket =
    | { socket: FramedConnection; declaresEnd: true; }
    | { socket: Socket; declaresEnd: false; };

/** A connection that another entry carries, or why there is none. */
export type RelayedConnection =
    | ({ type: "Connected"; } & RelayedSocket)
    | { type: "Failed"; failure: ConnectFailure; reason: string; };

/** Asks the entry at `relay` for a connection to `endpoint`. Never rejects. */
export const connectByRelay = (
    clock: Clock,
    relay: string,
    endpoint: EndpointRecord,
    connectTimeout: Milliseconds,
): Promise<RelayedConnection> =>
    new Promise(resolve => {
        const request = createUnlessInvalid(() =>
            http.request({
                ...splitAddress(relay),
                method: "CONNECT",
                path: endpoint.address,
                headers: {
                    [relayEndpointHeader]: endpoint.id,
                    [relayTimeoutHeader]: String(connectTimeout),
                    [relayFramingHeader]: relayFraming,
                    [relayResetHeader]: relayResetFraming,
                },
                agent: false,
            })
        );
        if (request instanceof Error) {
            resolve({ type: "Failed", failure: ConnectFailure.RelayUnavailable, reason: describeError(request) });
            return;
        }
        limitHeadBytes(request);
        const fail = (failure: ConnectFailure, reason: string) => {
            stopTimer();
            request.destroy();
            resolve({ type: "Failed", failure, reason });
        };
        const unavailable = (reason: string) => fail(ConnectFailure.RelayUnavailable, reason);
        const stopTimer = clock.after(
            connectTimeout + relayAnswerMargin,
            () => unavailable("the entry that should carry the connection didn't answer"),
        );
        request.once("connect", (response, socket: Socket, earlyBytes: Buffer) => {
            // A reset before the connection is used would otherwise end the process.
            socket.on("error", () => {});
            if (response.statusCode === RelayStatus.Connected && earlyBytes.length > 0) {
                socket.destroy();
                fail(ConnectFailure.NoResponse, "the endpoint sent bytes before a request");
                return;
            }
            if (response.statusCode === RelayStatus.Connected) {
                stopTimer();
                const declaresEnd = response.headers[relayFramingHeader] === relayFraming;
                resolve(
                    declaresEnd
                        ? { type: "Connected", socket: new FramedConnection(socket), declaresEnd }
                        : { type: "Connected", socket, declaresEnd },
                );
                return;
            }
            socket.destroy();
            fail(failureOf(response.statusCode), `another entry couldn't connect: status ${response.statusCode}`);
        });
        request.once("response", response => unavailable(`unexpected response with status ${response.statusCode}`));
        request.once("error", error => unavailable(error.message));
        request.once("close", () => unavailable("the connection closed without an answer"));
        request.end();
    });

const failureOf = (status: number | undefined): ConnectFailure => {
    if (status === RelayStatus.Refused) {
        return ConnectFailure.Refused;
    }
    return status === RelayStatus.NoResponse ? ConnectFailure.NoResponse : ConnectFailure.RelayUnavailable;
};
