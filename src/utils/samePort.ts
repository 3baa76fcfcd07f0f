/** Two listeners on one port number, such as for datagrams and for connections. */
import { splitAddress } from "./address.js";

/** A number that the system picks for one listener may be taken for the other; each try picks another one. */
const triesAtMost = 20;

/** Something that listens. */
interface Closable {
    address: string;
    close(): Promise<void>;
}

/**
 * Opens the first listener at `address` and the second at the address that the first got. With port 0 another number is
 * tried when the second can't have it; a port that was asked for is not changed, and its error is thrown.
 */
export const listenOnSamePort = async <First extends Closable>(
    address: string,
    openFirst: (address: string) => Promise<First>,
    openSecond: (address: string) => Promise<unknown>,
): Promise<First> => {
    for (let tries = 1;; tries++) {
        const first = await openFirst(address);
        try {
            await openSecond(first.address);
            return first;
        }
        catch (error) {
            await first.close();
            if (splitAddress(address).port !== 0 || tries >= triesAtMost) {
                throw error;
            }
        }
    }
};
