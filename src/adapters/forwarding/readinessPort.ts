/** Readiness check for the load balancer: whether this entry should receive callers. */
import { listen, type Listener, refuseTunnels } from "../../utils/httpServer.js";

/** Responds to any request at `address` with 200 while `isReady` returns true, otherwise with 503. */
export const serveReadiness = async (address: string, isReady: () => boolean): Promise<Listener> => {
    const listener = await listen(address, (request, response) => {
        request.resume();
        response.writeHead(isReady() ? 200 : 503, { "content-length": 0 }).end();
        return Promise.resolve();
    });
    refuseTunnels(listener.server);
    return listener;
};
