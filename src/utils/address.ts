/** Network addresses in the form `host:port`, which settings, stored objects and messages use. */

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
