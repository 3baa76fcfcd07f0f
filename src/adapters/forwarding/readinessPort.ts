/** Tells a balancer whether this entry should get callers. */
import { listen, type Listener } from "../../utils/httpServer.js";

/** Answers any request at `address` with 200 while `ready`, else with 503. */
export const serveReadiness = (address: string, ready: () => boolean): Promise<Listener> =>
    listen(address, (request, response) => {
        request.resume();
        response.writeHead(ready() ? 200 : 503, { "content-length": 0 }).end();
        return Promise.resolve();
    });
