/** A listener that disappears while its process counts as dead, so that connections are refused. */
import { listen, Listener, RequestHandler } from "../internal.js";

/** A listener that can be taken down and brought back on the same port. */
export class RevivableListener {
    private constructor(private listener: Listener, private readonly handler: RequestHandler) {}

    static async open(address: string, handler: RequestHandler): Promise<RevivableListener> {
        return new RevivableListener(await listen(address, handler), handler);
    }

    get address(): string {
        return this.listener.address;
    }

    /** Cuts every connection and refuses new ones. */
    async down(): Promise<void> {
        await this.listener.close();
    }

    /** Listens again at the same address. */
    async up(): Promise<void> {
        this.listener = await listen(this.listener.address, this.handler);
    }

    close(): Promise<void> {
        return this.listener.close();
    }
}
