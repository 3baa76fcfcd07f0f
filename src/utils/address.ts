/** Network addresses in the form `host:port`, which settings, stored objects and messages use. */
import { isIPv4 } from "node:net";

/** Host and port to connect to or to listen on. */
export interface HostAndPort {
    host: string;
    port: number;
}

/** Splits `host:port` at its last colon. */
export const splitAddress = (address: string): HostAndPort => {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
};

const portPattern = /^\d{1,5}$/;
const maximumPort = 65_535;

/**
 * Whether a connection to `address` can be tried: an IPv4 address and a port. Node throws for a port that doesn't exist, and
 * looks up any other text as a host name.
 */
export const isConnectable = (address: string): boolean => {
    const separator = address.lastIndexOf(":");
    const { host, port } = splitAddress(address);
    return isIPv4(host) && portPattern.test(address.slice(separator + 1)) && port > 0 && port <= maximumPort;
};
