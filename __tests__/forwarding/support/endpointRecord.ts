/** Endpoint records for tests. */
import { type EndpointRecord, EndpointState } from "../../../src/types/routing.js";

/** Returns the record of an endpoint that is ready and warm. */
export const endpointRecord = (id: string): EndpointRecord => ({
    id,
    service: "models",
    address: `${id}:80`,
    dataCentre: "north",
    slots: 4,
    state: EndpointState.Ready,
    coldFor: 0,
    incarnation: 1,
});
