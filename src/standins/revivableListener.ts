/** A listener that closes while its modelled process is dead, so that the operating system refuses connections. */
import { listen, Listener, RequestHandler } from "../internal.js";

/** A listener that can be closed and reopened on the same port. */
export class RevivableListener {
    private constructor(private listener: Listener, private readonly handler: RequestHandler) {}

    static async open(address: string, handler: RequestHandler): Promise<RevivableListener> {
        return new RevivableListener(await listen(address, handler), handler);
    }

    get address(): string {
        return this.listener.address;
    }

    /** Closes all connections and stops listening. */
    async takeDown(): Promise<void> {
        await this.listener.close();
    }

    /** Listens on the same address again. */
    async bringUp(): Promise<void> {
        this.listener = await listen(this.listener.address, this.handler);
    }

    close(): Promise<void> {
        return this.listener.close();
    }
}
