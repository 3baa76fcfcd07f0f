/** Opens two listeners on the same port number, such as one for datagrams and one for connections. */
import { splitAddress } from "./address.js";

/** The port that the system assigns to the first listener may be in use for the second; each attempt gets a new port. */
const maximumAttempts = 20;

/** A listener that can be closed again. */
interface ClosableListener {
    address: string;
    close(): Promise<void>;
}

/**
 * Opens the first listener at `address` and the second at the resulting address of the first. If the second fails, port 0 is
 * retried with another assigned port. A fixed port is not retried: the error of the second listener is thrown.
 */
export const listenOnSamePort = async <First extends ClosableListener>(
    address: string,
    openFirst: (address: string) => Promise<First>,
    openSecond: (address: string) => Promise<unknown>,
): Promise<First> => {
    for (let attempt = 1;; attempt++) {
        const first = await openFirst(address);
        try {
            await openSecond(first.address);
            return first;
        }
        catch (error) {
            await first.close();
            if (splitAddress(address).port !== 0 || attempt >= maximumAttempts) {
                throw error;
            }
        }
    }
};
