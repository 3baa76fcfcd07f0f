/** Network addresses as settings, stored objects and messages spell them. */

/** Where to connect or listen. */
export interface HostAndPort {
    host: string;
    port: number;
}

/** The parts of `host:port`. */
export const splitAddress = (address: string): HostAndPort => {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
};
